package ingress

import (
	"slices"
	"time"

	"eiderfold/link"
)

// reconnectTimeout is how long a committed non-retryable request waits for a broken link to come
// back.
const reconnectTimeout = 3 * time.Second

// linkBroken handles the loss of the link to an offer's gate.
func (f *inFlightRequest) linkBroken(o *offer, now time.Time) *Response {
	switch {
	case o.state == unconfirmed:
		return nil // Its outcome is queried when the link is back.
	case o.state != running && !o.direct:
		return f.refused(o, notConnected, now)
	case f.route.Retryable:
		return f.failed(o, &link.Failed{Detail: "the link to " + o.endpoint.member.Name + " broke"}, now)
	default:
		o.state = unconfirmed
		o.abandonAt = now.Add(reconnectTimeout)
		return nil
	}
}

// linkChanged handles a link that was lost or is back.
func (f *inFlightRequest) linkChanged(e event, now time.Time) *Response {
	var r *Response
	for _, o := range slices.Clone(f.offers) {
		if o.endpoint != e.endpoint || r != nil {
			continue
		}
		if e.lost {
			r = f.linkBroken(o, now)
			continue
		}
		r = f.queryOutcome(o, now)
	}
	return r
}

// queryOutcome asks over the new link for the outcome of a committed offer, unless the
// gate's process has been replaced and has no record of it.
func (f *inFlightRequest) queryOutcome(o *offer, now time.Time) *Response {
	l := o.endpoint.link.Load()
	if o.state != unconfirmed || l == nil {
		return nil
	}
	if l.process != o.process {
		return f.failed(o, &link.Failed{Detail: o.endpoint.member.Name + " has been restarted"}, now)
	}
	l.sink.Send(&link.Frame{OutcomeQuery: &link.OutcomeQuery{Key: o.key}})
	return nil
}
