package overload

import (
	"cmp"
	"time"
)

// priorityStep is the difference in arrival time that one step of priority makes up for: about
// the time of one answer.
const priorityStep = 200 * time.Millisecond

// Place is a request's key for the order of a queue.
type Place struct {
	virtualArrival time.Time // Arrival time, shifted by priority.
	target         time.Time
	deadline       time.Time
	late           bool
}

// NewPlace returns the queue key of a request that arrived at the given time.
func NewPlace(at time.Time, priority int, target, deadline time.Time) Place {
	return Place{virtualArrival: at.Add(time.Duration(priority) * priorityStep), target: target, deadline: deadline}
}

// Note updates whether the request can still meet its target deadline if it starts now and
// takes the given time. A request that once could not is treated as late from then on.
func (p *Place) Note(now time.Time, expected time.Duration) {
	p.late = p.late || now.Add(expected).After(p.target)
}

// Late reports whether the request can no longer meet its target deadline.
func (p *Place) Late() bool { return p.late }

// Limit returns the latest time for an answer that makes waiting worthwhile: the target
// deadline or, if that cannot be met, the deadline.
func (p *Place) Limit() time.Time {
	if p.late {
		return p.deadline
	}
	return p.target
}

// Compare orders queue keys. Requests that can meet their target deadline go before those that
// cannot: in order of arrival all requests would miss theirs while a service is saturated,
// although the capacity would be enough for some. Within both groups, higher priorities go
// first, but each step of priority is worth only priorityStep of waiting, so that no request
// starves. Ties are broken by the earliest deadline.
func (p *Place) Compare(o *Place) int {
	if p.late != o.late {
		if o.late {
			return -1
		}
		return 1
	}
	return cmp.Or(p.virtualArrival.Compare(o.virtualArrival), p.deadline.Compare(o.deadline))
}
