package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/platform"
	"eiderfold/route"
)

// sentFrames is a sink that records the frames sent to a gate.
type sentFrames struct{ frames []*link.Frame }

func (s *sentFrames) Send(f *link.Frame) bool {
	s.frames = append(s.frames, f)
	return true
}

// LastPong returns the zero time: no ping is replied to.
func (s *sentFrames) LastPong() time.Time { return time.Time{} }

type noCounts struct{}

func (noCounts) Count(string)                  {}
func (noCounts) Observe(string, time.Duration) {}

// newTestForwarder returns a forwarder without gates, of a node in the data centre "near".
func newTestForwarder() *Forwarder {
	return NewForwarder("caller", NewEndpoints("near", 0.7), platform.Headers{}, zap.NewNop(), noCounts{})
}

// orderInFlight commits an order to the first of some gates. It returns the order, the
// gates and their sinks.
func orderInFlight(t *testing.T, now time.Time, gates int) (*inFlightRequest, []*Endpoint, []*sentFrames) {
	t.Helper()
	f := newTestForwarder()
	endpoints := f.endpoints
	var all []*Endpoint
	var sinks []*sentFrames
	for range gates {
		n := NewEndpoint(link.Member{Service: "a", DataCentre: "near"})
		n.SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4}, time.Unix(1000, 0))
		sink := &sentFrames{}
		f.Connected(n, sink, 1)
		endpoints.Add(n)
		all = append(all, n)
		sinks = append(sinks, sink)
	}
	req := &inFlightRequest{forwarder: f, route: &route.Route{Target: time.Second, Attempts: 2}, service: "a", latency: &core.LatencyPercentile{},
		content: &link.Content{}, arrived: now, deadline: now.Add(3 * time.Second), events: newEventQueue(), saturated: func() bool { return true }}
	req.requirements = overload.NewRequirements(0, now, req.route.Target, req.deadline)
	req.offerNext(now)
	require.Len(t, req.offers, 1)
	req.handle(event{frame: &link.Frame{Granted: &link.Granted{Key: req.offers[0].key}}, key: req.offers[0].key.Number}, now)
	require.Equal(t, running, req.offers[0].state)
	return req, all, sinks
}

// TestUnconfirmedOrderIsNotReoffered guards against offering a committed order to another
// gate when its link breaks again before the outcome is known.
func TestUnconfirmedOrderIsNotReoffered(t *testing.T) {
	now := time.Unix(1000, 0)
	req, _, sinks := orderInFlight(t, now, 2)
	o := req.offers[0]
	before := len(sinks[0].frames) + len(sinks[1].frames)
	for range 3 {
		assert.Nil(t, req.handle(event{endpoint: o.endpoint, lost: true}, now))
		assert.Equal(t, unconfirmed, o.state)
		assert.Nil(t, req.handle(event{endpoint: o.endpoint}, now))
	}
	queries := len(sinks[0].frames) + len(sinks[1].frames) - before
	assert.Equal(t, 3, queries, "one query per link")
	assert.Equal(t, 1, req.offersMade)
}

// TestAnswerAtTheLimit guards against a busy loop: a tick that is due must not leave the
// next one due at the same time.
func TestAnswerAtTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	req, _, _ := orderInFlight(t, now, 1)
	at := req.nextWake()
	for range 10 {
		r := req.tick(at)
		if r != nil {
			assert.Equal(t, 504, r.Status)
			return
		}
		require.True(t, req.nextWake().After(at))
		at = req.nextWake()
	}
	t.Fatal("no answer")
}

// TestRestartedGateOutcomeUnknown checks that a committed order ends with an unknown
// outcome if its gate's process has been replaced.
func TestRestartedGateOutcomeUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	req, all, _ := orderInFlight(t, now, 1)
	assert.Nil(t, req.handle(event{endpoint: all[0], lost: true}, now))
	req.forwarder.Connected(all[0], &sentFrames{}, 2)
	r := req.handle(event{endpoint: all[0]}, now)
	require.NotNil(t, r)
	assert.Equal(t, 502, r.Status)
}

// brokenSink is a sink whose link is broken.
type brokenSink struct{}

func (brokenSink) Send(*link.Frame) bool { return false }
func (brokenSink) LastPong() time.Time   { return time.Time{} }

// TestFailedSendEndsAtOnce checks that a retryable request without attempts left is
// answered at once if the link breaks while the commit is sent.
func TestFailedSendEndsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	req, all, _ := orderInFlight(t, now, 1)
	req.withdrawAll()
	req.route = &route.Route{Target: time.Second, Attempts: 1, Retryable: true}
	req.runs, req.deliveries, req.offersMade, req.gates, req.tried = 0, 0, 1, nil, nil
	req.offerNext(now)
	require.Len(t, req.offers, 1)
	req.forwarder.Connected(all[0], brokenSink{}, 1)
	req.handle(event{frame: &link.Frame{Granted: &link.Granted{Key: req.offers[0].key}}, key: req.offers[0].key.Number}, now)
	require.NotNil(t, req.finalResponse)
	assert.Equal(t, 502, req.finalResponse.Status)
}

// TestUnservedIsRefusedInTime checks that a request that no gate accepts is refused within
// a quarter of the route's target, whatever the pauses between rounds.
func TestUnservedIsRefusedInTime(t *testing.T) {
	for _, target := range []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
		now := time.Unix(1000, 0)
		req, all, _ := orderInFlight(t, now, 1)
		req.withdrawAll()
		all[0].noteRefusal(&link.Refused{Reason: link.ReasonBusy, RetryAfter: time.Hour}, 0, now.Add(time.Hour))
		req.route = &route.Route{Target: target, Attempts: 2}
		req.requirements = overload.NewRequirements(0, now, target, req.deadline)
		req.runs, req.deliveries, req.offersMade, req.gates, req.tried = 0, 0, 0, nil, nil
		req.offerNext(now)
		for at := req.nextWake(); ; at = req.nextWake() {
			if r := req.tick(at); r != nil {
				assert.Equal(t, 503, r.Status)
				assert.NotEmpty(t, http.Header(r.Header).Get("Retry-After"))
				assert.Less(t, at.Sub(now), target/4, "target %v", target)
				break
			}
		}
	}
}

// A lookup whose nested request found no budget must be answered at once: its repeat would make the
// same nested request. Any other error is repeated elsewhere.
func TestLookupWhoseNestedRequestFoundNoBudgetIsNotRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, spent := range []bool{false, true} {
		req, _, sinks := orderInFlight(t, now, 2)
		req.route.Retryable = true
		before := len(sinks[0].frames) + len(sinks[1].frames)
		answer := &link.Answer{Key: req.offers[0].key, Status: http.StatusInternalServerError, BudgetSpent: spent}
		r := req.handle(event{frame: &link.Frame{Answer: answer}, key: answer.Key.Number}, now)
		offers := len(sinks[0].frames) + len(sinks[1].frames) - before
		assert.Equal(t, spent, req.lacksBudget())
		if spent {
			require.NotNil(t, r)
			assert.Equal(t, http.StatusInternalServerError, r.Status)
			assert.Zero(t, offers)
			continue
		}
		assert.Nil(t, r)
		assert.Equal(t, 1, offers)
	}
}

// A request that has waited behind others of its connection until its deadline must not be offered, which would run it
// with no time left: it is refused as not run.
func TestRequestPastItsDeadlineIsOffered(t *testing.T) {
	now := time.Now()
	req, _, sinks := orderInFlight(t, now, 1)
	late := &inFlightRequest{forwarder: req.forwarder, route: &route.Route{Target: time.Second, Attempts: 2, Retryable: true}, service: "a",
		latency: &core.LatencyPercentile{}, content: &link.Content{}, arrived: now.Add(-time.Second), deadline: now,
		events: newEventQueue(), saturated: func() bool { return true }}
	late.requirements = overload.NewRequirements(0, late.arrived, late.route.Target, late.deadline)
	before := len(sinks[0].frames)
	r := late.run(t.Context())
	assert.Equal(t, http.StatusServiceUnavailable, r.Status)
	assert.Len(t, sinks[0].frames, before, "frames sent to the gate")
}
