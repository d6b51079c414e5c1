package ingress

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/switches"
)

// respond makes the gate that got the request's latest offer respond: shed, budget, queue, commit
// (a grant) or error.
func respond(req *inFlightRequest, how string, now time.Time) *Response {
	k := req.offers[len(req.offers)-1].key
	frames := map[string]*link.Frame{
		"shed":   {Refused: &link.Refused{Key: k, Reason: link.ReasonShed}},
		"budget": {Refused: &link.Refused{Key: k, Reason: link.ReasonBudget, RetryAfter: 700 * time.Millisecond}},
		"queue":  {Queued: &link.Queued{Key: k}},
		"commit": {Granted: &link.Granted{Key: k}},
		"error":  {Answer: &link.Answer{Key: k, Status: http.StatusInternalServerError}},
	}
	return req.handle(event{frame: frames[how], key: k.Number}, now)
}

// A shed request must be refused with 503 and a true retry-after at once when two gates have no
// budget for it, and when it can no longer be answered by its target deadline, also while it waits in
// queues. A request that has run or is nested must not be, nor one that runs again.
func TestShedRequest(t *testing.T) {
	const target, deadline = time.Second, 3 * time.Second
	for _, c := range []struct {
		responses    string
		mean         time.Duration // Of the gates; the route's answers take up to 500 ms.
		nested       bool
		off          []string
		after        time.Duration // When the gates respond.
		status       int
		at           time.Duration // When it must be answered.
		noRetryAfter bool
	}{
		{responses: "shed budget budget", status: 503},
		{responses: "shed budget budget budget", off: []string{"urgent-repeats"}, status: 503},
		{responses: "error shed budget budget budget", status: 500, noRetryAfter: true},
		{responses: "shed queue queue queue", mean: 300 * time.Millisecond, status: 503, at: 700 * time.Millisecond},
		{responses: "shed queue queue queue", mean: 5 * time.Second, status: 503, at: 500 * time.Millisecond},
		{responses: "shed queue queue queue", status: 503, at: target},
		{responses: "shed", mean: 300 * time.Millisecond, after: 800 * time.Millisecond, status: 503, at: 800 * time.Millisecond},
		{responses: "shed queue queue queue", mean: 300 * time.Millisecond, nested: true, status: 503, at: deadline},
		{responses: "shed queue queue queue", mean: 300 * time.Millisecond, off: []string{"urgent-repeats"}, status: 503, at: deadline},
		{responses: "shed commit", mean: 300 * time.Millisecond, status: 504, at: deadline + lateGrace, noRetryAfter: true},
	} {
		now := time.Unix(1000, 0)
		req, all, _ := orderInFlight(t, now, 6)
		off, err := switches.Off(c.off...)
		require.NoError(t, err)
		req.forwarder.endpoints.SetSwitches(off)
		req.route.Retryable, req.route.Attempts = strings.HasPrefix(c.responses, "error"), 3
		if c.nested {
			req.requirements = req.requirements.ForNested(overload.Parent{Deadline: req.deadline})
		}
		at := now.Add(c.after)
		for _, e := range all {
			e.responseTime.note(c.mean, at)
		}
		var r *Response
		for _, how := range strings.Fields(c.responses) {
			require.Nil(t, r, "%+v", c)
			r = respond(req, how, at)
		}
		for r == nil {
			at = req.nextWake()
			r = req.tick(at)
		}
		assert.Equal(t, c.at, at.Sub(now), "%+v", c)
		assert.Equal(t, c.status, r.Status, "%+v", c)
		assert.Equal(t, c.noRetryAfter, http.Header(r.Header).Get("Retry-After") == "", "%+v", c)
	}
}
