package ingress

import (
	"sync"
	"time"
)

const (
	// ratioShare of the bound's ratio is spent, and slackShare of its slack. The rest
	// is for calls of repeated runs, which are charged but cannot be held back, for
	// repeats that reach their upstream in another window than the one they were paid
	// in, and for what a restarted process does not know to have spent. By
	// TestBudgetHoldsOverAnyWindow the bound holds so; at a ratioShare of 1 it did not.
	ratioShare = 0.85
	slackShare = 0.65
	// youngShare of its slack is what a process has that has not run for a window: it
	// may have spent the rest before a restart. A fleet that is restarted at once
	// keeps the bound.
	youngShare = 0.5
)

// Budget bounds how often this node sends a service's requests again. The fleet's
// bound, over any window, is a ratio of the requests and a slack above it. Each
// node takes the ratio of its own requests and an equal part of the slack, so the
// sum keeps the bound whoever can hear whom.
type Budget struct {
	mu       sync.Mutex
	ratio    float64   // What is spent of the fleet's.
	slack    float64   // What is spent of the fleet's, by all nodes together.
	fleet    int       // The largest number of nodes seen; more nodes, smaller parts.
	grown    time.Time // When the process will have run for a window.
	services map[string]*window
}

// window counts a service's requests and repeats of the last seconds.
type window struct {
	requests counts
	repeats  counts
}

// NewBudget returns a budget, of a process that begins now, for the fleet's ratio
// and slack.
func NewBudget(ratio, slack float64, now time.Time) *Budget {
	b := &Budget{fleet: 1, grown: now.Add(budgetWindow), services: map[string]*window{}}
	b.SetBounds(ratio, slack)
	return b
}

// SetBounds changes the fleet's ratio and slack.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio * ratioShare
	b.slack = slack * slackShare
}

// NoteFleet takes note of how many nodes are known now.
func (b *Budget) NoteFleet(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = max(b.fleet, nodes)
}

// Earn counts a caller's request for a service.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).requests.add(now)
}

// Charge counts a repeat that is not this node's choice: a call of a repeated run.
func (b *Budget) Charge(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).repeats.add(now)
}

// Take counts a repeat and reports whether the budget has it, with a part of it in
// reserve.
func (b *Budget) Take(service string, now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(service)
	if !b.fits(w, now, reserve) {
		return false
	}
	w.repeats.add(now)
	return true
}

// Has tells whether a repeat would be within the budget, without counting one.
func (b *Budget) Has(service string, now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(b.of(service), now, reserve)
}

// fits tells whether one more repeat keeps the bound, with the lock held.
func (b *Budget) fits(w *window, now time.Time, reserve float64) bool {
	slack := b.slack
	if now.Before(b.grown) {
		slack = youngShare * b.slack
	}
	bound := b.ratio*w.requests.sum(now) + slack/float64(b.fleet)
	return w.repeats.sum(now)+1 <= (1-reserve)*bound
}

// of returns a service's window, with the lock held.
func (b *Budget) of(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}
