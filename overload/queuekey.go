package overload

import (
	"cmp"
	"time"
)

const (
	// FixedStep is what a step of priority is worth for a request without a target: about the time
	// of one answer. It is also the least for one with a target, which may have passed.
	FixedStep = 200 * time.Millisecond
	// stepShare is the part of the time until its target deadline that a step of priority is worth.
	// A request of priority 2 that waits for its lag still has most of that time, and one with a
	// target of up to 1.3 s gets FixedStep.
	stepShare = 0.15
)

// PriorityStep returns the difference in arrival time that one step of priority makes up for: a part
// of the time until the request's target deadline. With a fixed step, a request with a long target
// would soon go before more urgent ones with a short target, which cannot wait for as long.
func PriorityStep(at, target, deadline time.Time) time.Duration {
	if !target.Before(deadline) {
		return FixedStep
	}
	return max(time.Duration(stepShare*float64(target.Sub(at))), FixedStep)
}

// QueueKey is a request's key for the order of a queue.
type QueueKey struct {
	virtualArrival time.Time     // Arrival time, shifted by the lag.
	lag            time.Duration // How much later others may arrive and go first, by priority.
	step           time.Duration // What a step of priority is worth.
	target         time.Time
	deadline       time.Time
	late           bool
}

// NewQueueKey returns the queue key of a request that arrived at the given time, where a step of
// priority is worth the given time (PriorityStep or FixedStep).
func NewQueueKey(at time.Time, priority int, step time.Duration, target, deadline time.Time) QueueKey {
	lag := time.Duration(priority) * step
	return QueueKey{virtualArrival: at.Add(lag), lag: lag, step: step, target: target, deadline: deadline}
}

// Lag returns how much later a request of priority 0 may arrive and still go before this one.
func (k *QueueKey) Lag() time.Duration { return k.lag }

// Step returns what a step of priority is worth for the request.
func (k *QueueKey) Step() time.Duration { return k.step }

// Delay moves a request back in the order of the queue, as if it had arrived later.
func (k *QueueKey) Delay(d time.Duration) { k.virtualArrival = k.virtualArrival.Add(d) }

// Update records whether the request can still meet its target deadline if it starts now and
// takes the given time. A request that once could not is treated as late from then on.
func (k *QueueKey) Update(now time.Time, expected time.Duration) {
	k.late = k.late || now.Add(expected).After(k.target)
}

// Late reports whether the request can no longer meet its target deadline.
func (k *QueueKey) Late() bool { return k.late }

// Limit returns the time by which an answer must be expected for the request to be queued: the
// target deadline or, if that cannot be met, the deadline. A gate refuses an offer whose answer it
// expects later.
func (k *QueueKey) Limit() time.Time {
	if k.late {
		return k.deadline
	}
	return k.target
}

// Compare orders queue keys. Requests that can meet their target deadline go before those that
// cannot: in order of arrival all requests would miss theirs while a service is saturated,
// although the capacity would be enough for some. Within both groups, higher priorities go
// first, but each step of priority is worth a bounded waiting time only, so that no request
// starves: it gains on all that arrive later. Ties are broken by the earliest deadline.
func (k *QueueKey) Compare(o *QueueKey) int {
	if k.late != o.late {
		if o.late {
			return -1
		}
		return 1
	}
	return cmp.Or(k.virtualArrival.Compare(o.virtualArrival), k.deadline.Compare(o.deadline))
}
