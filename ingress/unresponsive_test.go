package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/core"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/route"
)

// These tests guard against requests waiting for gates that have been unresponsive for
// seconds while other gates work.

// pongSink is a sink with a settable time of the last ping reply.
type pongSink struct {
	sentFrames
	lastPong time.Time
}

// LastPong returns when a ping was last replied to.
func (s *pongSink) LastPong() time.Time { return s.lastPong }

// pings counts the pings that were sent to the gate.
func (s *pongSink) pings() int {
	return s.sent(func(f *link.Frame) bool { return f.Ping != nil })
}

// offers counts the offers that were sent to the gate.
func (s *pongSink) offers() int {
	return s.sent(func(f *link.Frame) bool { return f.Offer != nil })
}

// sent counts the frames that were sent to the gate and match.
func (s *pongSink) sent(is func(*link.Frame) bool) int {
	n := 0
	for _, f := range s.frames {
		if is(f) {
			n++
		}
	}
	return n
}

// unresponsiveAndFull returns the forwarder of a service with a gate that does not respond
// and a gate whose queue is full.
func unresponsiveAndFull(now time.Time) (f *Forwarder, unresponsive, full *Endpoint, sinks map[*Endpoint]*pongSink) {
	f = newTestForwarder()
	sinks = map[*Endpoint]*pongSink{}
	for range 2 {
		n := NewEndpoint(link.Member{Service: "a", DataCentre: "near"})
		n.SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4}, now)
		sinks[n] = &pongSink{}
		f.Connected(n, sinks[n], 1)
		f.endpoints.Add(n)
		if unresponsive == nil {
			unresponsive = n
			continue
		}
		full = n
	}
	return f, unresponsive, full, sinks
}

// newOrder returns an order that arrives now, with a target of 1.5 seconds.
func newOrder(f *Forwarder, now time.Time) *inFlightRequest {
	r := &route.Route{Target: 1500 * time.Millisecond, Attempts: 2}
	req := &inFlightRequest{forwarder: f, route: r, service: "a", latency: &core.LatencyPercentile{}, content: &link.Content{}, arrived: now,
		deadline: now.Add(5 * time.Second), events: newEventQueue(), saturated: func() bool { return true }}
	req.requirements = overload.NewRequirements(0, now, r.Target, req.deadline)
	return req
}

// refuseAll runs an order to its answer while the full gate refuses every offer and the
// other gate does not respond. It returns how long that took.
func refuseAll(t *testing.T, req *inFlightRequest, full *Endpoint, now time.Time) time.Duration {
	t.Helper()
	req.offerNext(now)
	for at := now; at.Before(req.deadline); at = req.nextWake() {
		for _, o := range append([]*offer(nil), req.offers...) {
			if o.endpoint == full {
				m := &link.Refused{Key: o.key, Reason: link.ReasonBusy, RetryAfter: 20 * time.Millisecond}
				if r := req.handle(event{frame: &link.Frame{Refused: m}, key: o.key.Number}, at); r != nil {
					return at.Sub(now)
				}
			}
		}
		if r := req.tick(at); r != nil {
			return at.Sub(now)
		}
	}
	t.Fatal("the order has no answer")
	return 0
}

// TestOrdersSkipUnresponsiveGate sends an order every 50 ms for four seconds: only those
// before the ping reply was overdue may be offered to the unresponsive gate.
func TestOrdersSkipUnresponsiveGate(t *testing.T) {
	begin := time.Unix(1000, 0)
	f, unresponsive, full, sinks := unresponsiveAndFull(begin)
	for after := time.Duration(0); after < 4*time.Second; after += 50 * time.Millisecond {
		refuseAll(t, newOrder(f, begin.Add(after)), full, begin.Add(after))
	}
	assert.LessOrEqual(t, sinks[unresponsive].offers(), 12, "orders before the ping reply was overdue")
	assert.Positive(t, sinks[unresponsive].pings(), "it is pinged")
}

// TestGateReturnsWithPingReply checks that a gate that was unresponsive is selected like
// any other once it replies to a ping.
func TestGateReturnsWithPingReply(t *testing.T) {
	begin := time.Unix(1000, 0)
	f, unresponsive, full, sinks := unresponsiveAndFull(begin)
	refuseAll(t, newOrder(f, begin), full, begin)
	require.Positive(t, sinks[unresponsive].pings())
	later := begin.Add(5 * time.Second)
	crit := criteria{service: "a", tried: []*Endpoint{full}}
	assert.Nil(t, f.endpoints.choose(crit, later).endpoint, "it has not replied")
	sinks[unresponsive].lastPong = begin.Add(4 * time.Second)
	assert.Equal(t, unresponsive, f.endpoints.choose(crit, later).endpoint)
}

// TestUnresponsiveGatesAreLastResort checks that unresponsive gates are asked if a service
// has no others: this node may be the one that receives nothing.
func TestUnresponsiveGatesAreLastResort(t *testing.T) {
	begin := time.Unix(1000, 0)
	f, unresponsive, full, _ := unresponsiveAndFull(begin)
	f.endpoints.Remove(full)
	unresponsive.suspect(begin)
	assert.Equal(t, unresponsive, f.endpoints.choose(criteria{service: "a"}, begin.Add(5*time.Second)).endpoint)
}
