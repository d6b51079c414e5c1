package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
)

// A request that two gates have refused for lack of room for its nested requests must be answered
// at once, with the wait that the gate stated, and not be offered to all gates in turn; the second
// may be the first again. Other refusals must not end it.
func TestTwoGatesWithoutNestedRoomEndARequest(t *testing.T) {
	for name, c := range map[string]struct {
		gates   int
		reasons []link.Reason
		ends    bool
	}{
		"two":         {gates: 5, reasons: []link.Reason{link.ReasonNested, link.ReasonBusy, link.ReasonNested}, ends: true},
		"one":         {gates: 5, reasons: []link.Reason{link.ReasonBusy, link.ReasonNested, link.ReasonClosed}},
		"single gate": {gates: 1, reasons: []link.Reason{link.ReasonNested, link.ReasonNested}, ends: true},
	} {
		now := time.Unix(1000, 0)
		first, _, _ := orderInFlight(t, now, c.gates)
		req := newRequest(first, 0, now)
		req.offerNext(now)
		var r *Response
		for _, reason := range c.reasons {
			require.Nil(t, r, name)
			if len(req.offers) == 0 {
				now = req.nextWake()
				req.tick(now)
			}
			refused := &link.Refused{Key: req.offers[0].key, Reason: reason, RetryAfter: 10 * time.Millisecond}
			if reason == link.ReasonNested {
				refused.RetryAfter = 1500 * time.Millisecond
			}
			r = req.handle(event{frame: &link.Frame{Refused: refused}, key: refused.Key.Number}, now)
		}
		require.Equal(t, c.ends, r != nil, name)
		if c.ends {
			assert.Equal(t, http.StatusServiceUnavailable, r.Status)
			assert.GreaterOrEqual(t, http.Header(r.Header).Get("Retry-After"), "1.5")
		}
	}
}

// A request that waits at a gate must be kept there when others see no room for its nested requests:
// that gate has admitted it. Once it has run, such gates may be asked for a repeat.
func TestQueuedRequestOutlastsNestedRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	first, _, _ := orderInFlight(t, now, 5)
	req := newRequest(first, 0, now)
	req.offerNext(now)
	waits := req.offers[0]
	waits.state, waits.responded = waiting, true
	req.nestedRefusals = maxNestedRefusals
	req.offerNext(now)
	assert.Nil(t, req.tick(now.Add(time.Second)))
	assert.Equal(t, []*offer{waits}, req.offers, "no other gate is asked")
	req.handle(event{frame: &link.Frame{Granted: &link.Granted{Key: waits.key}}, key: waits.key.Number}, now)
	assert.Equal(t, running, waits.state)
	assert.Zero(t, req.nestedRefusals)
}

// The gate must learn of nested requests that are sent, and of their end, but not of others.
func TestNestedRequestsAreReported(t *testing.T) {
	var reported []any
	f := newTestForwarder()
	WithNested(func(parent, service string) func(int) {
		reported = append(reported, parent, service)
		return func(status int) { reported = append(reported, status) }
	})(f)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, parent := range []string{"a1", ""} {
		req := newRequest(&inFlightRequest{forwarder: f, service: "a", saturated: func() bool { return true }}, 0, time.Now())
		req.parent = parent
		f.runNested(ctx, req)
	}
	assert.Equal(t, []any{"a1", "a", 0}, reported, "its caller has left")
}
