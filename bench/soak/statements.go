package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// namedSettles is how long after an upstream first named a limit it may get more.
	namedSettles = 3 * time.Second
	// namedWindow is the window over which requests to an upstream that names a limit are counted.
	namedWindow = 4 * time.Second
	// In namedWindow an upstream may get namedFactor times what its limits allow, and namedExcess
	// requests.
	namedFactor = 1.5
	namedExcess = 5
	// passedOnAge is how long ago a node must have passed on a statement for its requests to count,
	// and for how long a limit still counts that was lowered.
	passedOnAge = 500 * time.Millisecond
	// namedStep is the resolution at which changing limits are summed up.
	namedStep = 50 * time.Millisecond
	// maxNamedTime is the longest time between two changes of an upstream's limit.
	maxNamedTime = 9 * time.Second
	// leavingTime is how long an upstream that leaves by its answers goes on serving.
	leavingTime = 2*drainGrace + time.Second
)

// namedRates are the limits that upstreams name, in requests per second.
var namedRates = []float64{0, 0.2, 0.4, 1, 1.2, 2.5, 5, 12}

// statements records what the incarnations of upstreams say of themselves in their answers, which
// nodes have passed it on, and what arrives at them.
type statements struct {
	enforced     bool // Violations are reported.
	mu           sync.Mutex
	incarnations map[string]*incarnationRecord // By stamp.
}

// incarnationRecord is one incarnation. The maps hold by node when its process first passed on a
// statement of the incarnation.
type incarnationRecord struct {
	changes    []limitChange
	arrivals   []time.Time // Of requests from nodes that had passed on its limit.
	limitBy    map[string]time.Time
	leavingBy  map[string]time.Time
	drainFound bool // A violation was reported.
}

// limitChange is when an answer first named another limit, or none.
type limitChange struct {
	at    time.Time
	named bool
	rate  float64
}

func newStatements(enforced bool) *statements {
	return &statements{enforced: enforced, incarnations: map[string]*incarnationRecord{}}
}

// of returns the record of an incarnation. The lock must be held.
func (s *statements) of(stamp string) *incarnationRecord {
	r := s.incarnations[stamp]
	if r == nil {
		r = &incarnationRecord{limitBy: map[string]time.Time{}, leavingBy: map[string]time.Time{}}
		s.incarnations[stamp] = r
	}
	return r
}

// answered records what an answer of an incarnation says of its limit.
func (s *statements) answered(stamp string, named bool, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.of(stamp)
	last := limitChange{}
	if n := len(r.changes); n > 0 {
		last = r.changes[n-1]
	}
	if last.named != named || named && last.rate != rate {
		r.changes = append(r.changes, limitChange{at: time.Now(), named: named, rate: rate})
	}
}

// passedOn records that a node has passed on an answer.
func (s *statements) passedOn(node string, h http.Header) {
	limited, leaving := h.Get("Server-Limit") != "", h.Get("Server-Leaving") != ""
	if !limited && !leaving {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.of(h.Get("Response-Stamp"))
	if _, known := r.limitBy[node]; limited && !known {
		r.limitBy[node] = time.Now()
	}
	if _, known := r.leavingBy[node]; leaving && !known {
		r.leavingBy[node] = time.Now()
	}
}

// forget excuses a node whose process was replaced or paused, until it passes on a statement again.
func (s *statements) forget(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.incarnations {
		delete(r.limitBy, node)
		delete(r.leavingBy, node)
	}
}

// arrived records a request that reached an incarnation, and reports how long after the drain time
// its caller sent it to a node that had passed on that the incarnation leaves; 0 if it did not.
func (s *statements) arrived(stamp, node string, sent time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.of(stamp)
	if at, known := r.limitBy[node]; known && time.Since(at) >= passedOnAge {
		r.arrivals = append(r.arrivals, time.Now())
	}
	at, known := r.leavingBy[node]
	if late := sent.Sub(at.Add(drainGrace)); known && late > 0 && s.enforced && !r.drainFound {
		r.drainFound = true
		return late
	}
	return 0
}

// episode returns since when the limits named at a time have been named without a break; the zero
// time if none is named.
func (r *incarnationRecord) episode(at time.Time) time.Time {
	begin := time.Time{}
	for _, c := range r.changes {
		switch {
		case c.at.After(at):
			return begin
		case !c.named:
			begin = time.Time{}
		case begin.IsZero():
			begin = c.at
		}
	}
	return begin
}

// rateAt returns the highest limit that was named in the passedOnAge before a time.
func (r *incarnationRecord) rateAt(at time.Time) float64 {
	rate := 0.0
	for i, c := range r.changes {
		over := i+1 < len(r.changes) && r.changes[i+1].at.Before(at.Add(-passedOnAge))
		if c.named && !c.at.After(at) && !over {
			rate = max(rate, c.rate)
		}
	}
	return rate
}

// exceeded returns a description of the first window with too many arrivals, "" for none.
func (r *incarnationRecord) exceeded() string {
	for i, first := range r.arrivals {
		end := first.Add(namedWindow)
		begin := r.episode(first)
		if begin.IsZero() || first.Before(begin.Add(namedSettles)) || !r.episode(end).Equal(begin) {
			continue
		}
		count := 0
		for _, a := range r.arrivals[i:] {
			if !a.After(end) {
				count++
			}
		}
		allowed := float64(namedExcess)
		for t := first; t.Before(end); t = t.Add(namedStep) {
			allowed += namedFactor * r.rateAt(t) * namedStep.Seconds()
		}
		if float64(count) > allowed {
			return fmt.Sprintf("%d requests in %v from %v; allowed %.1f", count, namedWindow, first.Format("05.000"), allowed)
		}
	}
	return ""
}

// checkLimits reports the upstreams that got more than the limits allow that they named.
func (s *statements) checkLimits(c *checker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stamp, r := range s.incarnations {
		if found := r.exceeded(); found != "" && s.enforced {
			c.violate("LIMIT: %s got %s", stamp, found)
		}
	}
}

// said is what an upstream says of itself in its answers.
type said struct {
	limited bool
	rate    float64
	leaving bool
}

// stamp identifies the incarnation, also among those with the same id. The lock must be held.
func (u *upstream) stamp() string { return u.id + "@" + strconv.FormatInt(u.startedAt, 10) }

// writeStatements writes to an answer what the upstream says of itself.
func (u *upstream) writeStatements(h http.Header) {
	u.mu.Lock()
	stamp, said := u.stamp(), u.said
	u.mu.Unlock()
	if said.limited {
		h.Set("Server-Limit", strconv.FormatFloat(said.rate, 'f', -1, 64))
	}
	if said.leaving {
		h.Set("Server-Leaving", "1")
	}
	u.checker.statements.answered(stamp, said.limited, said.rate)
}

// setLimit sets the limit that the upstream names from now on; false for none.
func (u *upstream) setLimit(limited bool, rate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.said.limited, u.said.rate = limited, rate
}

// limitUpstream makes an upstream name a limit, another one, and none.
func (s *soak) limitUpstream(_ context.Context, n *node) string {
	n.upstream.limiting.Lock()
	defer n.upstream.limiting.Unlock()
	first, second := namedRates[rand.IntN(len(namedRates))], namedRates[rand.IntN(len(namedRates))]
	for _, rate := range []float64{first, second} {
		n.upstream.setLimit(true, rate)
		time.Sleep(s.randomDuration(maxNamedTime))
	}
	n.upstream.setLimit(false, 0)
	return fmt.Sprintf("upstream of %s named limits of %v and %v", n.name, first, second)
}

// leaveByAnswers makes an upstream say in its answers alone that it leaves, and restarts it.
func (s *soak) leaveByAnswers(_ context.Context, n *node) string {
	u := n.upstream
	u.draining.Lock()
	defer u.draining.Unlock()
	u.mu.Lock()
	u.said.leaving = true
	u.mu.Unlock()
	time.Sleep(leavingTime)
	u.newIncarnation(false)
	return "upstream of " + n.name + " left by its answers and restarted"
}
