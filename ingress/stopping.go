package ingress

import (
	"time"

	"eiderfold/core"
	"eiderfold/result"
	"eiderfold/route"
)

// Refuse makes Serve refuse new requests, as the node stops and will call Finish at a time. Calls of
// requests that still run on the upstream beside this node are served, since nobody else takes
// them, unless they might not be answered by then.
func (f *Forwarder) Refuse(finishAt time.Time) { f.finishAt.Store(&finishAt) }

// boundByStop returns the refusal of a request that arrived after Refuse. The deadline of a call
// that is served is moved so that its upstream answers before Finish breaks it off.
func (f *Forwarder) boundByStop(req *inFlightRequest) *Response {
	finishAt := f.finishAt.Load()
	if finishAt == nil {
		return nil
	}
	last := finishAt.Add(-lateGrace)
	if req.parent == "" || !endsBy(last, req.route, req.latency, req.arrived, req.deadline) {
		return refusedByStop()
	}
	if last.Before(req.deadline) {
		req.deadline = last
	}
	return nil
}

// endsBy reports whether a call ends by a time: one that may be repeated if it usually does, and another one only if its
// deadline is no later, as it would be broken off while an upstream works on it.
func endsBy(last time.Time, r *route.Route, latency *core.LatencyPercentile, arrived, deadline time.Time) bool {
	if !deadline.After(last) {
		return true
	}
	return r.Retryable && arrived.Add(latency.StallThreshold()).Before(last)
}

// refusedByStop returns the refusal of a request that a stopping node does not take.
func refusedByStop() *Response {
	return refusal(result.New(result.Stopping, "").WithRetryAfter(shortRetryAfter))
}

// RefuseByHeader returns the refusal of a request whose body has not arrived if its header decides that: no body would
// change it. Otherwise it returns nil.
func (f *Forwarder) RefuseByHeader(r *Request) *Response {
	if f.table.Load() == nil {
		return nil // There may be a configuration by the time the body has arrived.
	}
	a, refused := f.checkHeader(r)
	if finishAt := f.finishAt.Load(); refused == nil && finishAt != nil {
		last := finishAt.Add(-lateGrace)
		if !a.isNested || !endsBy(last, a.route, f.latencyOf(a.route), r.Arrived, a.latestEnd(r.Arrived)) {
			refused = refusedByStop()
		}
	}
	if refused != nil {
		f.explain(r, nil, refused)
	}
	return refused
}

// latestEnd returns the deadline of a call, which is no later than that of the request that makes it.
func (a *acceptedHeader) latestEnd(arrived time.Time) time.Time {
	deadline := a.deadline(arrived)
	if a.parent.Deadline.IsZero() || deadline.Before(a.parent.Deadline) {
		return deadline
	}
	return a.parent.Deadline
}
