// Package budget limits how many requests a fleet sends again.
//
// Within any window, the repeats of a service are limited to a ratio of its requests plus a
// fixed slack. The limit is enforced where attempts arrive: each gate allows the ratio of the
// first attempts that it starts itself, plus an equal part of the service's slack. The sum
// keeps the limit without any communication between gates. Repeats go to healthy upstreams,
// whose gates start many first attempts and so have the largest budgets.
//
// # Usage
//
//	b := budget.New(0.2, 60, time.Now())
//	b.NoteGates(12)
//	b.Earn(now)                        // A first attempt starts.
//	if b.Take(now, budget.Hedge) {     // A repeat may start.
//	}
package budget

import (
	"sync"
	"time"
)

const (
	// ratioShare and slackShare are the parts of the limit's ratio and slack that gates use.
	// The rest covers nested requests of repeated runs, which are counted but never refused,
	// and what a process used before it restarted. TestBudgetHoldsOverAnyWindow checks that the
	// limit holds with these values.
	ratioShare = 0.85
	slackShare = 0.65
	// startupShare is the part of its slack that a process may use until it has run for a
	// window: it may have used the rest before a restart. So the limit also holds if the whole
	// fleet restarts at once.
	startupShare = 0.5
	// hedgeReserve is the part of the budget that hedges may not use. It is reserved for failed
	// attempts, which need a repeat more than slow ones.
	hedgeReserve = 0.3
)

// Claim is the kind of an attempt: whether and why it repeats another one.
type Claim uint8

// Kinds of attempt.
const (
	First   Claim = iota // It repeats nothing.
	Charged              // A nested request of a repeated run: counted, but never refused.
	Failure              // A repeat after a failed attempt.
	Hedge                // A repeat beside an attempt that takes long.
)

// Repeats reports whether the attempt needs budget to start.
func (c Claim) Repeats() bool { return c == Failure || c == Hedge }

// reserve returns the part of the budget that this kind may not use.
func (c Claim) reserve() float64 {
	if c == Hedge {
		return hedgeReserve
	}
	return 0
}

// Budget is the repeat budget of one gate. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	ratio       float64   // The part of the fleet's ratio that is used.
	slack       float64   // The part of the fleet's slack that is used by all gates together.
	gates       int       // The largest number of gates seen, which gives the smallest parts.
	rounding    float64   // The gate's rank among all nodes, in [0, 1).
	startupEnds time.Time // When the process will have run for a window.
	firsts      windowCounter
	repeats     windowCounter
}

// New returns the budget of a process that starts now, by the fleet's ratio and slack.
func New(ratio, slack float64, now time.Time) *Budget {
	b := &Budget{gates: 1, startupEnds: now.Add(window)}
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

// NoteGates records how many gates the service has now.
func (b *Budget) NoteGates(gates int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gates = max(b.gates, gates)
}

// NotePlace sets the gate's rank in an order of all nodes, in [0, 1). Repeats are counted in
// whole numbers, but a gate's budget is a fraction: with more gates than slack, every gate has
// less than one repeat, and none could repeat anything until its upstream had several requests.
// The rank decides whether the budget is rounded up or down. As ranks are evenly spread, the
// sum over all gates stays the same.
func (b *Budget) NotePlace(place float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rounding = place
}

// Earn counts a first attempt.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts.add(now)
}

// Charge counts a nested request of a repeated run, which is never refused.
func (b *Budget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeats.add(now)
}

// Take counts a repeat and returns true if the budget allows it.
func (b *Budget) Take(now time.Time, c Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, c) {
		return false
	}
	b.repeats.add(now)
	return true
}

// Return gives back a repeat that was taken at the given time and has not started.
func (b *Budget) Return(taken time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeats.remove(taken)
}

// Has reports whether the budget allows a repeat, without counting one.
func (b *Budget) Has(now time.Time, c Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, c)
}

// allows reports whether one more repeat is within the limit. The caller holds the lock.
func (b *Budget) allows(now time.Time, c Claim) bool {
	slack := b.slack
	if now.Before(b.startupEnds) {
		slack = startupShare * b.slack
	}
	bound := b.ratio*b.firsts.sum(now) + slack/float64(b.gates)
	return b.repeats.sum(now)+1 <= (1-c.reserve())*bound+b.rounding
}
