// Package budget limits how many requests a fleet sends again.
//
// Within any window, the repeats of a service are limited to a ratio of its requests plus a
// fixed slack. The limit is enforced where attempts arrive: each gate allows the ratio of the
// first attempts that it starts itself, plus an equal part of the service's slack. First attempts pay
// for repeats in the same way at all gates (see ledger), so that the sum keeps the limit without any
// communication between gates, also while requests move between them. Repeats go to healthy
// upstreams, whose gates start many first attempts and so have the largest budgets.
//
// # Usage
//
//	b := budget.New(0.2, 60, time.Now())
//	b.AwaitGates()
//	b.ObserveGates(12)                    // Once the others are known.
//	b.CountFirst(now)                     // A first attempt starts.
//	if b.TryTake(now, budget.Hedge) {     // A repeat may start.
//	}
//	u := budget.UrgencyOf(priority, shedOrder)
//	if !b.TryTakeFor(now, budget.FailureRetry, u) {
//		retryAfter := b.Refuse(now, budget.FailureRetry, u, 0)
//	}
package budget

import (
	"sync"
	"time"
)

const (
	// ratioShare and slackShare are the parts of the limit's ratio and slack that gates use. The
	// rest covers the time from when an attempt is counted to its arrival and, of the slack, what a
	// process used before it restarted. TestBudgetHoldsOverAnyWindow checks that the limit holds with
	// these values.
	ratioShare = 0.97
	slackShare = 0.78
	// startupShare is the part of its slack that a process may use until it has run for a
	// window. It is reached gradually: the usable part grows linearly from 0, so that all processes
	// that a gate starts within a window use at most startupShare in total. The process before them
	// may have used all of its slack within the same window, and slackShare × (1 + startupShare)
	// stays below 1. So the limit also holds if the whole fleet restarts, once or several times
	// within a window.
	startupShare = 0.25
	// hedgeReserve is the part of the budget that hedges may not use. It is reserved for failed
	// attempts, which need a repeat more than slow ones.
	hedgeReserve = 0.3
)

// AttemptKind is the kind of an attempt: whether and why it repeats another one.
type AttemptKind uint8

// Kinds of attempt.
const (
	First        AttemptKind = iota // It repeats nothing.
	Charged                         // The first attempt of a nested request of a repeated run, which counts as a repeat.
	FailureRetry                    // A repeat after a failed attempt.
	Hedge                           // A repeat beside an attempt that takes long.
)

// NeedsBudget reports whether the attempt needs budget to start.
func (k AttemptKind) NeedsBudget() bool { return k != First }

// IsFirst reports whether the attempt is the first one of its request.
func (k AttemptKind) IsFirst() bool { return k == First || k == Charged }

// withheldShare returns the part of the budget that this kind may not use.
func (k AttemptKind) withheldShare() float64 {
	if k == Hedge {
		return hedgeReserve
	}
	return 0
}

// Budget is the repeat budget of one gate. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	clock       clock
	ratio       float64   // The part of the fleet's ratio that is used.
	slack       float64   // The part of the fleet's slack that is used by all gates together.
	gates       int       // The largest number of gates seen, which gives the smallest parts; 0 before any were.
	rounding    float64   // The gate's rank, in [0, 1). Added before the budget is cut to whole repeats.
	startupEnds time.Time // When the process will have run for a window.
	attempts    ledger
	reserve     reserve
}

// New returns the budget of a process that starts now, by the fleet's ratio and slack. It is that of a
// service with one gate, unless AwaitGates or ObserveGates says otherwise.
func New(ratio, slack float64, now time.Time) *Budget {
	b := &Budget{clock: newClock(now), gates: 1, startupEnds: now.Add(window)}
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

// AwaitGates lets the budget do without slack until ObserveGates is called. A process that knows none or few
// of the others would take a larger part than its own, and a fleet of them many times the slack.
func (b *Budget) AwaitGates() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gates = 0
}

// ObserveGates records how many gates the service has now. The largest number seen counts until the
// process ends, so that a gate that sees fewer for a while takes no larger part of the slack.
func (b *Budget) ObserveGates(gates int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gates = max(b.gates, gates)
}

// SetRank sets the gate's rank in an order of all nodes, in [0, 1). Repeats are counted in
// whole numbers, but a gate's budget is a fraction: with more gates than slack, every gate has
// less than one repeat, and none could repeat anything until its upstream had several requests.
// The rank decides whether the budget is rounded up or down. As ranks are evenly spread, the
// sum over all gates stays the same.
func (b *Budget) SetRank(rank float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rounding = rank
}

// CountFirst counts a first attempt.
func (b *Budget) CountFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts.addFirst(b.clock.bucketOf(now))
}

// UncountFirst takes back a first attempt that was counted at the given time and did not reach an upstream. The
// request's next attempt is its first one then.
func (b *Budget) UncountFirst(counted time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts.removeFirst(b.clock.bucketOf(counted))
}

// TryTake is TryTakeFor for the most urgent repeats.
func (b *Budget) TryTake(now time.Time, k AttemptKind) bool { return b.TryTakeFor(now, k, MostUrgent) }

// TryTakeFor counts a repeat of an urgency and returns true if the budget allows it.
func (b *Budget) TryTakeFor(now time.Time, k AttemptKind, u Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, k, u, 0) {
		return false
	}
	newest := b.clock.bucketOf(now)
	s := b.attempts.tightest(newest, b.ratio)
	bound := b.bound(s, now)
	fromReserve := s.repeats+1 > bound-reservable(bound, b.rounding)+b.rounding
	b.reserve.take(newest, k, u, fromReserve)
	b.attempts.addRepeat(newest)
	return true
}

// Refund is RefundFor for the most urgent repeats.
func (b *Budget) Refund(taken time.Time) { b.RefundFor(taken, MostUrgent) }

// RefundFor gives back a repeat of an urgency that was taken at the given time and has not started.
func (b *Budget) RefundFor(taken time.Time, u Urgency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.clock.bucketOf(taken)
	b.attempts.removeRepeat(n)
	b.reserve.refund(n, u)
}

// CanTake is CanTakeAfter for one of the most urgent repeats with no others before it.
func (b *Budget) CanTake(now time.Time, k AttemptKind) bool {
	return b.CanTakeAfter(now, k, MostUrgent, 0)
}

// CanTakeAfter reports whether the budget allows a repeat of an urgency in addition to the given
// number of others, without counting any. A gate asks it when an offer arrives and while offers
// wait, and calls TryTakeFor when the offer gets its slot.
func (b *Budget) CanTakeAfter(now time.Time, k AttemptKind, u Urgency, others int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, k, u, others)
}

// Refuse records that a repeat was refused for want of budget. It returns how long it takes until
// the budget allows it in addition to the given number of others, if as many first attempts start
// as before.
func (b *Budget) Refuse(now time.Time, k AttemptKind, u Urgency, others int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := b.clock.bucketOf(now)
	b.reserve.need(newest, k, u)
	needed, drawn := b.reserve.before(newest, u)
	paidRate := ownShare * b.ratio * b.attempts.firstsInWindow(newest) / window.Seconds()
	var wait time.Duration
	b.attempts.each(newest, func(s span) {
		if lacking := s.repeats + float64(others) + 1 - b.limit(b.bound(s, now), k, needed, drawn); lacking > 0 {
			wait = max(wait, b.until(s, now, lacking, paidRate))
		}
	})
	return wait
}

// until returns how long it takes until a span that lacks so many repeats does not forbid any more: until
// first attempts have paid for them, at a rate per second, or until the window is over that begins with it.
func (b *Budget) until(s span, now time.Time, lacking, paidRate float64) time.Duration {
	ends := b.clock.startOf(s.begin + buckets + 1).Sub(now)
	if paidRate <= 0 {
		return ends
	}
	return min(ends, time.Duration(lacking/paidRate*float64(time.Second)))
}

// Reserved reports whether the budget would allow a repeat if no part of it were reserved for more
// urgent ones.
func (b *Budget) Reserved(now time.Time, k AttemptKind, u Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.allows(now, k, u, 0) && b.allows(now, k, MostUrgent, 0)
}

// State is what a budget has counted in the last window, and what it allows: a gate's part of the
// fleet's limit. The sum over all gates of a service shows how the fleet uses its limit.
type State struct {
	Firsts  float64 `json:"firsts"`  // First attempts.
	Repeats float64 `json:"repeats"` // Repeats taken, less those given back.
	Left    float64 `json:"left"`    // How many more repeats may start now, before that is cut to whole ones.
	Slack   float64 `json:"slack"`   // The part of the slack that this gate uses in a window.
	Gates   int     `json:"gates"`   // Among how many gates the slack is divided; 0 while they are not known.
}

// State returns the budget's state now.
func (b *Budget) State(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := b.clock.bucketOf(now)
	tightest := b.attempts.tightest(newest, b.ratio)
	return State{
		Firsts:  b.attempts.firstsInWindow(newest),
		Repeats: b.attempts.repeatsInWindow(newest),
		Left:    b.bound(tightest, now) - tightest.repeats,
		Slack:   b.slackPart(now),
		Gates:   b.gates,
	}
}

// allows reports whether one more repeat is within the limit, after the given number of others.
// The caller holds the lock.
func (b *Budget) allows(now time.Time, k AttemptKind, u Urgency, others int) bool {
	newest := b.clock.bucketOf(now)
	s := b.attempts.tightest(newest, b.ratio)
	needed, drawn := b.reserve.before(newest, u)
	return s.repeats+float64(others)+1 <= b.limit(b.bound(s, now), k, needed, drawn)
}

// limit returns how many repeats there may be in a span with this bound before none of the kind is allowed, given
// how many more urgent requests needed, and drew from the part that can be reserved. The caller holds the lock.
func (b *Budget) limit(bound float64, k AttemptKind, needed, drawn float64) float64 {
	return k.limit(bound, withheld(needed, drawn, reservable(bound, b.rounding)), b.rounding)
}

// limit returns how many repeats of the kind a bound allows, of which so many are withheld.
func (k AttemptKind) limit(bound, held, rounding float64) float64 {
	return min((1-k.withheldShare())*bound, bound-held) + rounding
}

// bound returns the gate's part of the fleet's limit in a span, before it is cut to whole repeats. The
// caller holds the lock.
func (b *Budget) bound(s span, now time.Time) float64 {
	return s.paid(b.ratio) + b.slackPart(now)
}

// slackPart returns the gate's part of the slack. The caller holds the lock.
func (b *Budget) slackPart(now time.Time) float64 {
	if b.gates == 0 {
		return 0
	}
	return b.slackAt(now) / float64(b.gates)
}

// slackAt returns the slack that is available at the given time to all gates together, assuming
// that they all started when this one did. The caller holds the lock.
func (b *Budget) slackAt(now time.Time) float64 {
	if !now.Before(b.startupEnds) {
		return b.slack
	}
	age := window - b.startupEnds.Sub(now)
	return startupShare * b.slack * float64(age) / float64(window)
}
