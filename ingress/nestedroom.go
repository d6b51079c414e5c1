package ingress

import (
	"context"
	"time"

	"eiderfold/link"
)

// maxNestedRefusals is how many gates may refuse a request for lack of room for its nested
// requests. The room is that of other services, so further gates would refuse it, too; the
// second is asked since nodes know the room of different gates.
const maxNestedRefusals = 2

// runNested runs a request and, if it is a nested one, reports its begin and end.
func (f *Forwarder) runNested(ctx context.Context, req *inFlightRequest) *Response {
	if req.parent == "" {
		return req.run(ctx)
	}
	ended := f.nested(req.parent, req.service)
	r := req.run(ctx)
	if r == nil {
		ended(0)
		return nil
	}
	ended(r.Status)
	return r
}

// noteNestedRefusal records a refusal for lack of room for nested requests. The last one states
// when to retry: gates that refused for other reasons may have room before the services that the
// nested requests lead to.
func (f *inFlightRequest) noteNestedRefusal(retryAfter time.Duration) {
	if f.lastRefusal != link.ReasonNested {
		return
	}
	f.nestedRefusals++
	if f.nestedRefusals == maxNestedRefusals {
		f.minRetryAfter = retryAfter
		f.forwarder.count("no_room_nested")
	}
}

// lacksNestedRoom reports whether the request is offered to no further gate, as there is no room
// for its nested requests.
func (f *inFlightRequest) lacksNestedRoom() bool { return f.nestedRefusals >= maxNestedRefusals }
