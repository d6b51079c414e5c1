package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/core"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/route"
)

// handlingSink is a sink that passes the frames sent to a gate to a function.
type handlingSink struct{ handle func(f *link.Frame) }

func (s *handlingSink) Send(f *link.Frame) bool {
	s.handle(f)
	return true
}

// LastPong returns the zero time: no ping is replied to.
func (*handlingSink) LastPong() time.Time { return time.Time{} }

// runOrder runs an order whose gate grants its offer. committed is called when the gate gets the commit, on the
// request's goroutine, so that the request handles nothing meanwhile.
func runOrder(t *testing.T, committed func(f *Forwarder, k link.Key)) *Response {
	t.Helper()
	f := newTestForwarder()
	now := time.Now()
	gate := NewEndpoint(link.Member{Service: "a", DataCentre: "near"})
	gate.SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4}, now)
	f.Connected(gate, &handlingSink{func(m *link.Frame) {
		switch {
		case m.Offer != nil:
			f.Deliver(&link.Frame{Granted: &link.Granted{Key: m.Offer.Key}})
		case m.Commit != nil:
			committed(f, m.Commit.Key)
		}
	}}, 1)
	f.endpoints.Add(gate)
	req := &inFlightRequest{forwarder: f, route: &route.Route{Target: time.Second, Attempts: 2}, service: "a", latency: &core.LatencyPercentile{},
		content: &link.Content{}, arrived: now, deadline: now.Add(3 * time.Second), events: newEventQueue(), saturated: func() bool { return true }}
	req.requirements = overload.NewRequirements(0, now, req.route.Target, req.deadline)
	r := req.run(t.Context())
	require.NotNil(t, r)
	return r
}

// loseLinks reports more changes of another gate's link than any bound on a request's events would allow.
func loseLinks(f *Forwarder) {
	other := NewEndpoint(link.Member{Service: "b"})
	sink := &handlingSink{func(*link.Frame) {}}
	for range 1000 {
		f.Connected(other, sink, 1)
		f.Disconnected(other, sink)
	}
}

// An answer must not be lost because many links change while the request's goroutine does not run.
func TestLinkChangesLoseAnswer(t *testing.T) {
	r := runOrder(t, func(f *Forwarder, k link.Key) {
		loseLinks(f)
		f.Deliver(&link.Frame{Answer: &link.Answer{Key: k, Status: http.StatusOK}})
	})
	assert.Equal(t, http.StatusOK, r.Status)
}

// The end of a stop must not be lost because many links change, and a request with an answer gets that answer.
func TestLinkChangesLoseEndOfStop(t *testing.T) {
	started := time.Now()
	r := runOrder(t, func(f *Forwarder, _ link.Key) {
		loseLinks(f)
		f.Finish()
	})
	assert.Equal(t, http.StatusBadGateway, r.Status)
	assert.Less(t, time.Since(started), time.Second)
	for range 20 { // The request's goroutine selects one of two events that are ready.
		r = runOrder(t, func(f *Forwarder, k link.Key) {
			f.Deliver(&link.Frame{Answer: &link.Answer{Key: k, Status: http.StatusOK}})
			f.Finish()
		})
		assert.Equal(t, http.StatusOK, r.Status)
	}
}
