package gate

import (
	"slices"
	"time"

	"eiderfold/switches"
)

const (
	// queuePerSlot bounds the queue; what is behind it would wait many times the
	// usual answer time.
	queuePerSlot = 16
	// priorityStep is how much later an offer could have come that goes first for
	// being one step more urgent: about one answer's time.
	priorityStep = 200 * time.Millisecond
	// queueShare of its time is how long an offer may wait. After that the caller
	// has more of a chance elsewhere, told so in time.
	queueShare = 0.4
	// assumedTime stands in for the mean answer time before there is one.
	assumedTime = 100 * time.Millisecond
)

// order puts urgent offers first, and lets those that waited catch up: each step
// of priority is worth priorityStep of waiting, so that none starves.
// Among equals the one with the least time goes first.
func order(a, b *entry) int {
	if c := a.rank().Compare(b.rank()); c != 0 {
		return c
	}
	return a.Deadline.Compare(b.Deadline)
}

// rank is when an offer of the highest priority in its place would have come.
func (e *entry) rank() time.Time { return e.At.Add(time.Duration(e.Priority) * priorityStep) }

// wait estimates how long an offer takes with so many before it in the queue.
func (a *Admission) wait(before int) time.Duration {
	usual := a.usual
	if usual == 0 {
		usual = assumedTime
	}
	return usual * time.Duration(before+1) / time.Duration(max(a.slots, 1))
}

// likely is the time that most answers of a kind of request take; the mean of all
// kinds until this one has been answered.
func (a *Admission) likely(kind uint32) time.Duration {
	if t := a.kinds[kind]; t != nil && t.count > 0 && a.switches.On(switches.KindTimes) {
		return t.median()
	}
	return a.usual
}

// drop takes an offer out that has its end. A repeat that never started costs nothing.
func (a *Admission) drop(e *entry) {
	delete(a.entries, e.Key)
	if !e.taken.IsZero() && e.phase != running {
		a.budget.Return(e.taken)
	}
	if e.phase == queued {
		a.queue = slices.DeleteFunc(a.queue, func(o *entry) bool { return o == e })
	}
}
