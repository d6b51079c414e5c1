// Package budget bounds how often a fleet sends requests again.
//
// The fleet's bound, over any window, is a ratio of a service's requests and a slack
// above it. It is kept where attempts arrive: each gate takes the ratio of the first
// attempts that it starts and an equal part of its service's slack, so that the sum
// keeps the bound whoever can hear whom. A gate whose upstream does well sees many
// first attempts and may take many repeats: the budget is where repeats are sent, and
// need not be moved.
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
	// ratioShare of the bound's ratio is spent, and slackShare of its slack. The rest
	// is for calls of repeated runs, which are charged but cannot be held back, and
	// for what a restarted process does not know to have spent. By
	// TestBudgetHoldsOverAnyWindow the bound holds so; at a ratioShare of 1 it did not.
	ratioShare = 0.85
	slackShare = 0.65
	// youngShare of its slack is what a process has that has not run for a window: it
	// may have spent the rest before a restart. A fleet that is restarted at once
	// keeps the bound.
	youngShare = 0.5
	// hedgeReserve is the part of the budget that hedges leave alone: a hedge is a
	// guess, and a failure is not.
	hedgeReserve = 0.3
)

// Claim says by what right an attempt that repeats another asks to start.
type Claim uint8

// Claims.
const (
	First   Claim = iota // It repeats nothing.
	Charged              // A call of a repeated run: counted, and not held back.
	Failure              // The attempt before it failed.
	Hedge                // The attempt before it is late.
)

// Repeats tells whether the attempt needs the budget's leave.
func (c Claim) Repeats() bool { return c == Failure || c == Hedge }

// reserve is the part of the budget that the claim leaves alone.
func (c Claim) reserve() float64 {
	if c == Hedge {
		return hedgeReserve
	}
	return 0
}

// Budget is one gate's part. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64   // What is spent of the fleet's.
	slack   float64   // What is spent of the fleet's, by all gates together.
	gates   int       // The largest number of gates seen; more gates, smaller parts.
	place   float64   // The gate's place among all nodes, in [0, 1).
	grown   time.Time // When the process will have run for a window.
	firsts  counts
	repeats counts
}

// New returns the part of a process that begins now, of a fleet's ratio and slack.
func New(ratio, slack float64, now time.Time) *Budget {
	b := &Budget{gates: 1, grown: now.Add(window)}
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

// NoteGates takes note of how many gates the service has now.
func (b *Budget) NoteGates(gates int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gates = max(b.gates, gates)
}

// NotePlace takes note of the gate's place in an order of all nodes, in [0, 1). A repeat is
// whole, and a gate's part need not be: with more gates than slack every part is under one,
// and nobody could repeat anything before its upstream has had several requests. So a part
// is rounded up or down by the place. Places are spread evenly, and what is rounded up at
// some gates is rounded down at others: the sum stays that of the parts.
func (b *Budget) NotePlace(place float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place = place
}

// Earn counts a first attempt.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts.add(now)
}

// Charge counts a repeat that nobody chose: a call of a repeated run.
func (b *Budget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeats.add(now)
}

// Take counts a repeat and reports whether the budget has it.
func (b *Budget) Take(now time.Time, c Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(now, c) {
		return false
	}
	b.repeats.add(now)
	return true
}

// Return gives back a repeat that was taken then and has not started.
func (b *Budget) Return(taken time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeats.remove(taken)
}

// Has tells whether a repeat would be within the budget, without counting one.
func (b *Budget) Has(now time.Time, c Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(now, c)
}

// fits tells whether one more repeat keeps the bound, with the lock held.
func (b *Budget) fits(now time.Time, c Claim) bool {
	slack := b.slack
	if now.Before(b.grown) {
		slack = youngShare * b.slack
	}
	bound := b.ratio*b.firsts.sum(now) + slack/float64(b.gates)
	return b.repeats.sum(now)+1 <= (1-c.reserve())*bound+b.place
}
