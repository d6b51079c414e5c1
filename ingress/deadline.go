package ingress

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

const (
	// lateGrace is how long after the deadline an answer is awaited that the
	// upstream was told to give by then.
	lateGrace = 250 * time.Millisecond
	// farShareOfAim of the route's target is how long a queue in the own data centre is
	// preferred to a free slot in another: bytes between data centres are dear, and
	// an answer that is in time is worth no more for being early.
	farShareOfAim = 0.15
)

// tick does what is due.
func (f *flight) tick(now time.Time) *Response {
	if !now.Before(f.limit()) {
		return f.final(now)
	}
	for _, o := range slices.Clone(f.offers) {
		if r := f.overdue(o, now); r != nil {
			return r
		}
	}
	if len(f.offers) == 0 && !now.Before(f.round) {
		return f.again(now)
	}
	if f.queuedNear(now) {
		f.far = true
		f.next(now)
	}
	return nil
}

// overdue acts on an offer that is late: its gate silent, its link away, or its
// answer later than usual.
func (f *flight) overdue(o *offer, now time.Time) *Response {
	switch {
	case !o.heard && !o.accept.IsZero() && !now.Before(o.accept) && o.state != running:
		o.accept = time.Time{}
		o.target.suspect(now)
		f.forwarder.log.Info("gate silent", zap.String("attempt", f.attempt), zap.String("node", o.target.member.Name), zap.Bool("may_run", o.direct))
		if !o.direct {
			o.target.send(&link.Frame{Withdraw: &link.Withdraw{Key: o.key}})
			return f.refused(o, notConnected, now)
		}
		f.hedge(now)
	case o.state == doubtful && !now.Before(o.rejoin):
		return f.failed(o, &link.Failed{Detail: "the link to " + o.target.member.Name + " did not come back"}, now)
	case (o.state == running || o.direct) && !o.hedge.IsZero() && !now.Before(o.hedge):
		o.hedge = time.Time{}
		f.hedge(now)
	}
	return nil
}

// limit is when the request must have its answer.
func (f *flight) limit() time.Time {
	if f.busy() {
		return f.deadline.Add(lateGrace)
	}
	return f.deadline
}

// wake is when the next thing is due.
func (f *flight) wake() time.Time {
	at := f.limit()
	sooner := func(t time.Time) {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	for _, o := range f.offers {
		if !o.heard && o.state != running {
			sooner(o.accept)
		}
		if o.state == doubtful {
			sooner(o.rejoin)
		}
		if o.state == running || o.direct {
			sooner(o.hedge)
		}
	}
	if len(f.offers) == 0 {
		sooner(f.round)
	}
	if !f.far && f.onlyWaiting() {
		sooner(f.began.Add(f.farAfter()))
	}
	return at
}

// queuedNear tells whether the request has waited in its data centre for long
// enough to be offered elsewhere.
func (f *flight) queuedNear(now time.Time) bool {
	return !f.far && f.onlyWaiting() && !now.Before(f.began.Add(f.farAfter()))
}

// farAfter is how long a request that waits in a queue of its own data centre is
// not offered elsewhere.
func (f *flight) farAfter() time.Duration {
	return time.Duration(farShareOfAim * float64(f.route.Target))
}
