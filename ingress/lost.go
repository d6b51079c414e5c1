package ingress

import (
	"slices"
	"time"

	"eiderfold/link"
)

// rejoinTime is how long a committed request waits for a broken link.
const rejoinTime = 3 * time.Second

// broken takes note that the way to a committed offer's gate is gone.
func (f *flight) broken(o *offer, now time.Time) *Response {
	switch {
	case o.state == doubtful:
		return nil // It is asked for when the next way is there.
	case o.state != running && !o.direct:
		return f.refused(o, notConnected, now)
	case f.route.Retryable:
		return f.failed(o, &link.Failed{Detail: "the link to " + o.target.member.Name + " broke"}, now)
	default:
		o.state = doubtful
		o.rejoin = now.Add(rejoinTime)
		return nil
	}
}

// wayChanged handles a link that was lost or is back.
func (f *flight) wayChanged(e event, now time.Time) *Response {
	var r *Response
	for _, o := range slices.Clone(f.offers) {
		if o.target != e.target || r != nil {
			continue
		}
		if e.lost {
			r = f.broken(o, now)
			continue
		}
		r = f.rejoin(o, now)
	}
	return r
}

// rejoin asks over the new link what became of an order, unless its gate's process
// has been replaced and cannot know.
func (f *flight) rejoin(o *offer, now time.Time) *Response {
	w := o.target.way.Load()
	if o.state != doubtful || w == nil {
		return nil
	}
	if w.process != o.process {
		return f.failed(o, &link.Failed{Detail: o.target.member.Name + " has been restarted"}, now)
	}
	w.sink.Send(&link.Frame{Ask: &link.Ask{Key: o.key}})
	return nil
}
