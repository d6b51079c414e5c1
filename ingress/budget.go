package ingress

import (
	"sync"
	"time"
)

const (
	// budgetShare is the part of the fleet's bound that is spent: calls that a
	// repeated run makes count as repeats too, and are not seen here.
	budgetShare = 0.65
	// A node counts in buckets of a second over the operators' window of ten.
	budgetBucket  = time.Second
	budgetBuckets = 10
)

// Budget bounds how often this node sends a service's requests again. The fleet's
// bound, over any window, is a ratio of the requests and a slack above it. Each
// node takes the ratio of its own requests and an equal part of the slack, so the
// sum keeps the bound whoever can hear whom. A restarted node begins with nothing.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	fleet    int // The largest number of nodes seen; more nodes, smaller parts.
	services map[string]*window
}

// window counts a service's requests and repeats of the last seconds.
type window struct {
	requests [budgetBuckets]float64
	repeats  [budgetBuckets]float64
	second   int64 // Of the newest bucket.
}

// NewBudget returns a budget for the fleet's ratio and slack.
func NewBudget(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * budgetShare, slack: slack * budgetShare, fleet: 1, services: map[string]*window{}}
}

// SetBounds changes the fleet's ratio and slack.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio * budgetShare
	b.slack = slack * budgetShare
}

// Fleet tells how many nodes are known now.
func (b *Budget) Fleet(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = max(b.fleet, nodes)
}

// Earn counts a caller's request for a service.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.second%budgetBuckets]++
}

// Take counts a repeat and reports whether the budget has it, with a part of it in
// reserve.
func (b *Budget) Take(service string, now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	if !b.fits(w, reserve) {
		return false
	}
	w.repeats[w.second%budgetBuckets]++
	return true
}

// Has tells whether a repeat would be within the budget, without counting one.
func (b *Budget) Has(service string, now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(b.at(service, now), reserve)
}

// fits tells whether one more repeat keeps the bound, with the lock held.
func (b *Budget) fits(w *window, reserve float64) bool {
	return sum(w.repeats)+1 <= (1-reserve)*(b.ratio*sum(w.requests)+b.slack/float64(b.fleet))
}

// at returns a service's window, moved on to now.
func (b *Budget) at(service string, now time.Time) *window {
	w := b.services[service]
	second := now.UnixNano() / int64(budgetBucket)
	if w == nil {
		w = &window{second: second}
		b.services[service] = w
	}
	for ; w.second < second; w.second++ {
		if second-w.second > budgetBuckets {
			w.second = second - budgetBuckets // All buckets in between are emptied below.
		}
		next := (w.second + 1) % budgetBuckets
		w.requests[next] = 0
		w.repeats[next] = 0
	}
	return w
}

func sum(buckets [budgetBuckets]float64) float64 {
	total := 0.0
	for _, n := range buckets {
		total += n
	}
	return total
}
