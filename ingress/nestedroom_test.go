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

func refusalOf(o *offer, reason link.Reason, after time.Duration) event {
	return event{frame: &link.Frame{Refused: &link.Refused{Key: o.key, Reason: reason, RetryAfter: after}}, key: o.key.Number}
}

// A request that two gates have refused for lack of room for its nested requests must be answered
// at once, with the wait that the gate stated, and not be offered to all gates in turn. One such
// refusal, or refusals for other reasons, must not end it.
func TestTwoGatesWithoutNestedRoomEndARequest(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		reasons []link.Reason
		ends    bool
	}{
		"one":                {reasons: []link.Reason{link.ReasonNested}},
		"two":                {reasons: []link.Reason{link.ReasonNested, link.ReasonNested}, ends: true},
		"busy between them":  {reasons: []link.Reason{link.ReasonNested, link.ReasonBusy, link.ReasonNested}, ends: true},
		"two other reasons":  {reasons: []link.Reason{link.ReasonBusy, link.ReasonNested, link.ReasonClosed}},
		"only other reasons": {reasons: []link.Reason{link.ReasonClosed, link.ReasonClosed}},
	} {
		t.Run(name, func(t *testing.T) {
			first, _, _ := orderInFlight(t, now, 5)
			req := newRequest(first, 0, now)
			req.offerNext(now)
			var r *Response
			for _, reason := range c.reasons {
				require.Nil(t, r)
				require.Len(t, req.offers, 1)
				after := 10 * time.Millisecond
				if reason == link.ReasonNested {
					after = 1500 * time.Millisecond
				}
				r = req.handle(refusalOf(req.offers[0], reason, after), now)
			}
			if !c.ends {
				assert.Nil(t, r)
				assert.Len(t, req.offers, 1, "another gate is asked")
				return
			}
			require.NotNil(t, r)
			assert.Equal(t, http.StatusServiceUnavailable, r.Status)
			assert.GreaterOrEqual(t, http.Header(r.Header).Get("Retry-After"), "1.5")
		})
	}
}

// A request that waits at a gate must be kept there when two others see no room for its nested
// requests: that gate has admitted it.
func TestQueuedRequestOutlastsNestedRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	first, _, _ := orderInFlight(t, now, 5)
	req := newRequest(first, 0, now)
	req.offerNext(now)
	waits := req.offers[0]
	req.handle(event{frame: &link.Frame{Queued: &link.Queued{Key: waits.key}}, key: waits.key.Number}, now)
	require.Len(t, req.offers, 2)
	assert.Nil(t, req.handle(refusalOf(req.offers[1], link.ReasonNested, time.Second), now))
	req.nestedRefusals = maxNestedRefusals
	req.offerNext(now)
	assert.Equal(t, []*offer{waits}, req.offers, "no other gate is asked")
	assert.Nil(t, req.tick(now.Add(time.Second)))
	req.handle(event{frame: &link.Frame{Granted: &link.Granted{Key: waits.key}}, key: waits.key.Number}, now)
	assert.Equal(t, running, waits.state)
	assert.Zero(t, req.nestedRefusals, "a repeat of it may be offered again")
}

// A service with a single gate must not delay the answer: the gate is asked again after a pause, and
// its second refusal ends the request at once.
func TestSingleGateWithoutNestedRoomEndsARequest(t *testing.T) {
	now := time.Unix(1000, 0)
	first, _, _ := orderInFlight(t, now, 1)
	req := newRequest(first, 0, now)
	req.offerNext(now)
	assert.Nil(t, req.handle(refusalOf(req.offers[0], link.ReasonNested, time.Second), now))
	now = req.nextWake()
	assert.Nil(t, req.tick(now))
	require.Len(t, req.offers, 1)
	r := req.handle(refusalOf(req.offers[0], link.ReasonNested, time.Second), now)
	require.NotNil(t, r)
	assert.Equal(t, http.StatusServiceUnavailable, r.Status)
}

// The gate must learn of nested requests that are sent, and of their end, but not of other
// requests.
func TestNestedRequestsAreReported(t *testing.T) {
	open, total, status := 0, 0, -1
	f := newTestForwarder()
	WithNested(func(parent, service string) func(int) {
		assert.Equal(t, "a1", parent)
		assert.Equal(t, "a", service)
		open++
		total++
		return func(s int) { open, status = open-1, s }
	})(f)
	for _, parent := range []string{"a1", ""} {
		req := newRequest(&inFlightRequest{forwarder: f, service: "a", saturated: func() bool { return true }}, 0, time.Now())
		req.parent = parent
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		f.runNested(ctx, req)
	}
	assert.Equal(t, 1, total)
	assert.Zero(t, open)
	assert.Zero(t, status, "its caller has left")
}
