package ingress

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/port"
	"eiderfold/route"
)

// newRequest returns another request like req, of a priority, that has not been offered yet.
func newRequest(req *inFlightRequest, priority int, now time.Time) *inFlightRequest {
	next := &inFlightRequest{forwarder: req.forwarder, route: &route.Route{Target: time.Second, Attempts: 2}, service: req.service, latency: req.latency,
		content: &link.Content{}, arrived: now, deadline: now.Add(3 * time.Second), events: newEventQueue(), saturated: req.saturated}
	next.requirements = overload.NewRequirements(priority, now, next.route.Target, next.deadline)
	return next
}

func limitRefusalOf(o *offer, after time.Duration) event {
	return event{frame: &link.Frame{Refused: &link.Refused{Key: o.key, Reason: link.ReasonLimited, RetryAfter: after}}, key: o.key.Number}
}

// When the limits of all upstreams are used up, requests must be refused at once, with the time at
// which the first limit has room again, and more urgent ones must still be offered.
func TestUsedUpLimitsRefuseAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	req, all, sinks := orderInFlight(t, now, 2)
	first := newRequest(req, 1, now)
	first.offerNext(now)
	require.Len(t, first.offers, 1)
	assert.Nil(t, first.handle(limitRefusalOf(first.offers[0], 4*time.Second), now))
	require.Len(t, first.offers, 1, "the other gate is asked")
	first.handle(limitRefusalOf(first.offers[0], 3*time.Second), now)
	require.NotNil(t, first.finalResponse)
	sent := len(sinks[0].frames) + len(sinks[1].frames)

	next := newRequest(req, 1, now)
	next.offerNext(now)
	for _, r := range []*Response{first.finalResponse, next.finalResponse} {
		require.NotNil(t, r)
		assert.Equal(t, 503, r.Status)
		seconds, err := strconv.ParseFloat(http.Header(r.Header).Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, seconds, 3.0)
		assert.Less(t, seconds, 6.2, "at most twice the wait, with the step of its priority")
	}
	assert.Equal(t, sent, len(sinks[0].frames)+len(sinks[1].frames), "no gate is asked")

	urgent := newRequest(req, 0, now)
	urgent.offerNext(now)
	assert.Len(t, urgent.offers, 1)

	all[0].SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4, Limited: true, Limit: 1}, now)
	all[0].noteRefusal(&link.Refused{Reason: link.ReasonLimited, RetryAfter: time.Second}, 1, now)
	all[0].SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4, Limited: true, Limit: 2}, now)
	raised := newRequest(req, 1, now)
	raised.offerNext(now)
	require.Len(t, raised.offers, 1, "a raised limit is asked at once")
	assert.Equal(t, all[0], raised.offers[0].endpoint)
}

// A gate that replaced another one must get the limit with an offer from a node that has heard it,
// for that incarnation of the upstream alone.
func TestOfferCarriesTheLimitToAGateThatHasNotHeardIt(t *testing.T) {
	now := time.Unix(1000, 0)
	req, all, _ := orderInFlight(t, now, 1)
	status := link.Status{Mode: link.ModeOpen, Slots: 4, Upstream: "i-1", StartedAt: 7}
	all[0].SetStatus(status, now)
	say := func(limit string) {
		first := newRequest(req, 0, now)
		first.offerNext(now)
		o := first.offers[0]
		header := http.Header{"Response-Stamp": {"x"}}
		if limit != "" {
			header.Set("Server-Limit", limit)
		}
		first.handle(event{frame: &link.Frame{Answer: &link.Answer{Key: o.key, Status: http.StatusOK, Header: header}}, key: o.key.Number}, now)
	}
	limitOf := func(s link.Status, at time.Time) *link.NamedLimit {
		sink := &sentFrames{}
		req.forwarder.Connected(all[0], sink, 2)
		all[0].SetStatus(s, at)
		newRequest(req, 0, at).offerNext(at)
		require.Len(t, sink.frames, 1)
		return sink.frames[0].Offer.Limit
	}
	assert.Nil(t, limitOf(status, now))
	say("2.5")
	assert.Equal(t, &link.NamedLimit{StartedAt: 7, Rate: 2.5, Age: time.Second}, limitOf(status, now.Add(time.Second)))
	say("nonsense")
	assert.Equal(t, 2.5, limitOf(status, now).Rate, "what cannot be read changes nothing")
	heard, later, other := status, status, status
	heard.Heard, later.StartedAt, other.Upstream = true, 8, "i-2"
	for _, s := range []link.Status{heard, later, other} {
		assert.Nil(t, limitOf(s, now))
	}
	all[0].SetStatus(status, now)
	say("")
	assert.Nil(t, limitOf(status, now), "the upstream names no limit any more")
}

// A node that has passed on an answer of an upstream that leaves must not send it anything, even if
// the process beside the upstream was replaced and does not know.
func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	req, all, _ := orderInFlight(t, now, 2)
	status := link.Status{Mode: link.ModeOpen, Slots: 4, Upstream: "i-1", StartedAt: 7}
	all[0].SetStatus(status, now)
	endpoints := req.forwarder.endpoints
	endpoints.statements.note(incarnationOf(status), port.Statement{Leaving: true}, now)
	for range 100 {
		assert.Equal(t, all[1], endpoints.choose(criteria{service: "a"}, now).endpoint)
	}
	assert.Nil(t, endpoints.choose(criteria{service: "a", tried: all[1:]}, now).endpoint, "not even as the last one")
	status.StartedAt = 8
	all[0].SetStatus(status, now)
	assert.Equal(t, all[0], endpoints.choose(criteria{service: "a", tried: all[1:]}, now).endpoint, "a later incarnation under the same id")
}
