package overload

import (
	"cmp"
	"time"
)

// priorityStep is the difference in arrival time that one step of priority makes up for: about
// the time of one answer.
const priorityStep = 200 * time.Millisecond

// QueueKey is a request's key for the order of a queue.
type QueueKey struct {
	virtualArrival time.Time // Arrival time, shifted by priority.
	target         time.Time
	deadline       time.Time
	late           bool
}

// NewQueueKey returns the queue key of a request that arrived at the given time.
func NewQueueKey(at time.Time, priority int, target, deadline time.Time) QueueKey {
	return QueueKey{virtualArrival: at.Add(time.Duration(priority) * priorityStep), target: target, deadline: deadline}
}

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
// first, but each step of priority is worth only priorityStep of waiting, so that no request
// starves. Ties are broken by the earliest deadline.
func (k *QueueKey) Compare(o *QueueKey) int {
	if k.late != o.late {
		if o.late {
			return -1
		}
		return 1
	}
	return cmp.Or(k.virtualArrival.Compare(o.virtualArrival), k.deadline.Compare(o.deadline))
}
