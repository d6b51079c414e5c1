package gate

import (
	"slices"
	"time"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/switches"
)

const (
	// maxQueuePerSlot bounds the queue; an offer behind it would wait many times the mean
	// response time.
	maxQueuePerSlot = 16
	// maxWaitShare is the part of the time until its deadline that an offer may wait. After
	// that, another gate is more likely to answer in time.
	maxWaitShare = 0.4
	// lateWaitFactor is how many mean response times an offer past its target deadline may
	// wait.
	lateWaitFactor = 2
	// unknownKindShare is the part of the time until its target deadline that a request is
	// expected to take if its kind has no answer times yet.
	unknownKindShare = 0.5
	// assumedResponseTime replaces the mean response time before the first answer.
	assumedResponseTime = 100 * time.Millisecond
)

// newQueueKey returns the queue key of an offer.
func (a *Admission) newQueueKey(m Offered) overload.QueueKey {
	step := overload.FixedStep
	if a.switches.On(switches.TargetSteps) {
		step = overload.PriorityStep(m.At, m.TargetDeadline, m.Deadline)
	}
	return overload.NewQueueKey(m.At, m.Priority, step, m.TargetDeadline, m.Deadline)
}

// refuseToQueue refuses an entry that would wait too long behind this many others, or for which the
// budget would not suffice there; otherwise, it returns nil.
func (a *Admission) refuseToQueue(e *entry, expected time.Duration, before int) []Command {
	if a.waitsTooLong(e, expected, before) {
		return []Command{e.afterShare(e.At, a.refuseWait(e.At, e.Key, before))}
	}
	if excess := a.excessWait(e.At, e, before); excess > 0 {
		return []Command{Refuse{Key: e.Key, Reason: link.ReasonBusy, RetryAfter: excess, Yields: true}}
	}
	if others := a.repeatsBefore(before); a.switches.On(switches.UrgentRepeats) && !a.hasBudget(e.At, e.Offered, others) {
		return a.refuseBudget(e.At, e.Offered, others)
	}
	return nil
}

// waitsTooLong reports whether the wait behind this many others would make the entry's answer too
// late, or end before the entry starts.
func (a *Admission) waitsTooLong(e *entry, expected time.Duration, before int) bool {
	wait := a.wait(e.At, before)
	queueFull := before >= maxQueuePerSlot*a.slots
	tooLate := e.At.Add(wait + expected).After(e.queueKey.Limit())
	return queueFull || tooLate || !a.mayWait(e, wait) || a.cannotStart(e.At, e, before)
}

// enqueue inserts an entry into the queue behind this many others.
func (a *Admission) enqueue(e *entry, expected time.Duration, before int) []Command {
	e.Ready = false // Another gate may get the request meanwhile; the commit decides.
	a.add(e, expected)
	a.queue = slices.Insert(a.queue, before, e)
	return []Command{Queue{Key: e.Key, Doubted: !a.Saturated() && a.mustWait(e.At, e), Delay: e.shareAt.Sub(e.At)}}
}

// compareQueued compares entries by their order in the queue.
func compareQueued(a, b *entry) int { return a.queueKey.Compare(&b.queueKey) }

// reorder moves entries back that can no longer meet their target deadline, and refuses those
// that would wait too long there.
func (a *Admission) reorder(at time.Time) []Command {
	if !a.switches.On(switches.LateLast) {
		return nil
	}
	for _, e := range a.queue {
		e.queueKey.Update(at, a.expectedTime(e.Kind, e.TargetDeadline.Sub(at)))
	}
	slices.SortStableFunc(a.queue, compareQueued)
	var out []Command
	for i, e := range slices.Clone(a.queue) {
		if wait := a.wait(at, i); !a.mayWait(e, wait) {
			a.drop(e)
			out = append(out, e.afterShare(at, a.refuseWait(at, e.Key, i)))
		}
	}
	return out
}

// refuseWait refuses an offer that would wait too long behind this many entries of the queue, by
// what it would wait for: a slot, or the limit that the upstream names.
func (a *Admission) refuseWait(at time.Time, k link.Key, before int) Refuse {
	wait := a.wait(at, before)
	if limited := a.named.wait(at, before); limited > 0 && limited == wait {
		return Refuse{Key: k, Reason: link.ReasonLimited, RetryAfter: wait}
	}
	return Refuse{Key: k, Reason: link.ReasonBusy, RetryAfter: wait}
}

// cannotStart reports whether the limit that the upstream names keeps an entry with this many
// others before it from starting before its wait expires.
func (a *Admission) cannotStart(at time.Time, e *entry, before int) bool {
	return at.Add(a.named.wait(at, before)).After(e.expires)
}

// refuseUnreachable refuses queued entries that the limit keeps from starting in time, as it was
// lowered or more urgent entries went before them.
func (a *Admission) refuseUnreachable(at time.Time) []Command {
	if !a.named.limited {
		return nil
	}
	var out []Command
	for _, e := range slices.Clone(a.queue) {
		if i := slices.Index(a.queue, e); a.cannotStart(at, e, i) {
			a.drop(e)
			out = append(out, e.afterShare(at, a.refuseWait(at, e.Key, i)))
		}
	}
	return out
}

// mayWait reports whether an offer may wait for so long. Past its target deadline it may wait
// for a few answers only: others would overtake it until its deadline.
func (a *Admission) mayWait(e *entry, wait time.Duration) bool {
	return !e.queueKey.Late() || wait <= lateWaitFactor*a.estimatedResponseTime()
}

// estimatedResponseTime returns the mean response time, or an assumed one before the first
// answer.
func (a *Admission) estimatedResponseTime() time.Duration {
	if a.meanResponseTime == 0 {
		return assumedResponseTime
	}
	return a.meanResponseTime
}

// wait estimates how long an offer waits with this many entries before it in the queue.
func (a *Admission) wait(at time.Time, before int) time.Duration {
	slots := a.estimatedResponseTime() * time.Duration(before+1) / time.Duration(max(a.slots, 1))
	return max(slots, a.cold.wait(at, before), a.named.wait(at, before))
}

// expectedTime returns the expected answer time of a kind of request. For a kind that was never
// answered here it assumes that the target deadline can be met, as operators set it so.
func (a *Admission) expectedTime(kind uint32, left time.Duration) time.Duration {
	if !a.switches.On(switches.KindTimes) {
		return a.meanResponseTime
	}
	if t := a.kinds[kind]; t != nil && t.count > 0 {
		return t.median()
	}
	return min(a.meanResponseTime, time.Duration(unknownKindShare*float64(max(left, 0))))
}

// drop removes an entry. A repeat that never started goes back to the budget.
func (a *Admission) drop(e *entry) {
	delete(a.entries, e.Key)
	a.shares.Refund(&e.charge)
	if e.phase != running {
		a.refundBudget(e)
	}
	if e.phase == granted && e.tokenTaken {
		a.named.refund()
	}
	if e.phase == queued {
		a.queue = slices.DeleteFunc(a.queue, func(o *entry) bool { return o == e })
	}
}
