package ingress

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

const (
	// lateGrace is how long past the deadline the answer of a running attempt is still
	// awaited. The upstream was told to give it by the deadline.
	lateGrace = 250 * time.Millisecond
	// farShareOfTarget is the share of the route's target for which a queue in the own
	// data centre is preferred to a free slot in another one: traffic between data centres
	// is expensive, and an answer well before the target gains nothing.
	farShareOfTarget = 0.15
)

// tick handles the timers that are due. It returns the final answer, if there is one.
func (f *inFlightRequest) tick(now time.Time) *Response {
	if !now.Before(f.answerBy()) {
		return f.giveUp(now)
	}
	for _, o := range slices.Clone(f.offers) {
		if r := f.handleOverdue(o, now); r != nil {
			return r
		}
	}
	if len(f.offers) == 0 && !now.Before(f.nextRoundAt) {
		return f.tryNext(now)
	}
	if f.queuedTooLong(now) {
		f.far = true
		f.offerNext(now)
	}
	return nil
}

// handleOverdue acts on an offer whose gate does not respond, whose link does not come
// back, or whose answer is slow.
func (f *inFlightRequest) handleOverdue(o *offer, now time.Time) *Response {
	switch {
	case !o.responded && !o.suspectAt.IsZero() && !now.Before(o.suspectAt) && o.state != running:
		o.suspectAt = time.Time{}
		o.endpoint.suspect(now)
		f.forwarder.log.Info("gate silent", zap.String("attempt", f.attempt), zap.String("node", o.endpoint.member.Name), zap.Bool("may_run", o.direct))
		if !o.direct {
			o.endpoint.send(&link.Frame{Withdraw: &link.Withdraw{Key: o.key}})
			return f.refused(o, notConnected, now)
		}
		f.hedge(now)
	case o.state == unconfirmed && !now.Before(o.abandonAt):
		return f.failed(o, &link.Failed{Detail: "the link to " + o.endpoint.member.Name + " did not come back"}, now)
	case (o.state == running || o.direct) && !o.hedgeAt.IsZero() && !now.Before(o.hedgeAt):
		o.hedgeAt = time.Time{}
		f.hedge(now)
	}
	return nil
}

// answerBy returns when the request must be answered.
func (f *inFlightRequest) answerBy() time.Time {
	if f.busy() {
		return f.deadline.Add(lateGrace)
	}
	if f.wasShed() && !f.refuseAt.IsZero() && f.refuseAt.Before(f.deadline) {
		return f.refuseAt
	}
	return f.deadline
}

// nextWake returns when the next timer is due.
func (f *inFlightRequest) nextWake() time.Time {
	at := f.answerBy()
	sooner := func(t time.Time) {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	for _, o := range f.offers {
		if !o.responded && o.state != running {
			sooner(o.suspectAt)
		}
		if o.state == unconfirmed {
			sooner(o.abandonAt)
		}
		if o.state == running || o.direct {
			sooner(o.hedgeAt)
		}
	}
	if len(f.offers) == 0 {
		sooner(f.nextRoundAt)
	}
	if !f.far && f.onlyWaiting() {
		sooner(f.arrived.Add(f.farAfter()))
	}
	return at
}

// queuedTooLong reports whether the request has waited in its own data centre long enough
// to be offered to others.
func (f *inFlightRequest) queuedTooLong(now time.Time) bool {
	return !f.far && f.onlyWaiting() && !now.Before(f.arrived.Add(f.farAfter()))
}

// farAfter returns how long a request that is queued in its own data centre is not offered
// to others.
func (f *inFlightRequest) farAfter() time.Duration {
	return time.Duration(farShareOfTarget * float64(f.route.Target))
}
