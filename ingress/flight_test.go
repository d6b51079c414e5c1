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

// sentFrames is a way to a gate that keeps what was sent.
type sentFrames struct{ frames []*link.Frame }

func (s *sentFrames) Send(f *link.Frame) bool {
	s.frames = append(s.frames, f)
	return true
}

// Ponged returns the zero time: no ping is replied to.
func (s *sentFrames) Ponged() time.Time { return time.Time{} }

type noCounts struct{}

func (noCounts) Count(string)                  {}
func (noCounts) Observe(string, time.Duration) {}

// newTestForwarder returns a forwarder of a node in the data centre "near" that knows no
// gates.
func newTestForwarder() *Forwarder {
	return NewForwarder("caller", NewTargets("near", 0.7), platform.Headers{}, zap.NewNop(), noCounts{})
}

// orderInFlight commits an order to the first of some gates and returns it.
func orderInFlight(t *testing.T, now time.Time, gates int) (*flight, []*Target, []*sentFrames) {
	t.Helper()
	f := newTestForwarder()
	targets := f.targets
	var all []*Target
	var ways []*sentFrames
	for range gates {
		n := NewTarget(link.Member{Service: "a", DataCentre: "near"})
		n.SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4}, time.Unix(1000, 0))
		w := &sentFrames{}
		f.Connected(n, w, 1)
		targets.Add(n)
		all = append(all, n)
		ways = append(ways, w)
	}
	fl := &flight{forwarder: f, route: &route.Route{Target: time.Second, Attempts: 2}, service: "a", usual: &core.Usual{},
		content: &link.Content{}, began: now, deadline: now.Add(3 * time.Second), events: make(chan event, eventsKept), crowded: func() bool { return true }}
	fl.terms = overload.NewTerms(0, now, fl.route.Target, fl.deadline)
	fl.next(now)
	require.Len(t, fl.offers, 1)
	fl.on(event{frame: &link.Frame{Granted: &link.Granted{Key: fl.offers[0].key}}, key: fl.offers[0].key.Number}, now)
	require.Equal(t, running, fl.offers[0].state)
	return fl, all, ways
}

// TestDoubtOutlastsEveryCut loses the way to the gate of a committed order again
// before it could be asked: the order must not be offered to another gate. A model
// found that it was.
func TestDoubtOutlastsEveryCut(t *testing.T) {
	now := time.Unix(1000, 0)
	fl, _, ways := orderInFlight(t, now, 2)
	o := fl.offers[0]
	before := len(ways[0].frames) + len(ways[1].frames)
	for range 3 {
		assert.Nil(t, fl.on(event{target: o.target, lost: true}, now))
		assert.Equal(t, doubtful, o.state)
		assert.Nil(t, fl.on(event{target: o.target}, now))
	}
	asked := len(ways[0].frames) + len(ways[1].frames) - before
	assert.Equal(t, 3, asked, "a question for each way")
	assert.Equal(t, 1, fl.made)
}

// TestAnswerAtTheLimit ends a request at the very moment of its limit: a tick that
// is due must not leave the next one due at the same time.
func TestAnswerAtTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	fl, _, _ := orderInFlight(t, now, 1)
	at := fl.wake()
	for range 10 {
		r := fl.tick(at)
		if r != nil {
			assert.Equal(t, 504, r.Status)
			return
		}
		require.True(t, fl.wake().After(at))
		at = fl.wake()
	}
	t.Fatal("no answer")
}

// TestRestartedGateLeavesDoubt finds another process at the gate of a committed order.
func TestRestartedGateLeavesDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	fl, all, _ := orderInFlight(t, now, 1)
	assert.Nil(t, fl.on(event{target: all[0], lost: true}, now))
	fl.forwarder.Connected(all[0], &sentFrames{}, 2)
	r := fl.on(event{target: all[0]}, now)
	require.NotNil(t, r)
	assert.Equal(t, 502, r.Status)
}

// deadWay is a way that takes nothing.
type deadWay struct{}

func (deadWay) Send(*link.Frame) bool { return false }
func (deadWay) Ponged() time.Time     { return time.Time{} }

// TestFailedSendEndsAtOnce commits a retryable request, without a further attempt
// left, to a gate whose link dies under the commit: the answer is there at once.
func TestFailedSendEndsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	fl, all, _ := orderInFlight(t, now, 1)
	fl.withdrawAll()
	fl.route = &route.Route{Target: time.Second, Attempts: 1, Retryable: true}
	fl.runs, fl.arrivals, fl.made, fl.gates, fl.tried = 0, 0, 1, nil, nil
	fl.next(now)
	require.Len(t, fl.offers, 1)
	fl.forwarder.Connected(all[0], deadWay{}, 1)
	fl.on(event{frame: &link.Frame{Granted: &link.Granted{Key: fl.offers[0].key}}, key: fl.offers[0].key.Number}, now)
	require.NotNil(t, fl.ended)
	assert.Equal(t, 502, fl.ended.Status)
}

// TestUnservedIsRefusedInTime lets no gate take a request: its caller is told well
// before a quarter of the route's aim has passed, whatever the pauses between the
// rounds of offers.
func TestUnservedIsRefusedInTime(t *testing.T) {
	for _, aim := range []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
		now := time.Unix(1000, 0)
		fl, all, _ := orderInFlight(t, now, 1)
		fl.withdrawAll()
		all[0].refuse(&link.Refused{Reason: link.ReasonBusy, After: time.Hour}, 0, now.Add(time.Hour))
		fl.route = &route.Route{Target: aim, Attempts: 2}
		fl.terms = overload.NewTerms(0, now, aim, fl.deadline)
		fl.runs, fl.arrivals, fl.made, fl.gates, fl.tried = 0, 0, 0, nil, nil
		fl.next(now)
		for at := fl.wake(); ; at = fl.wake() {
			if r := fl.tick(at); r != nil {
				assert.Equal(t, 503, r.Status)
				assert.NotEmpty(t, http.Header(r.Header).Get("Retry-After"))
				assert.Less(t, at.Sub(now), aim/4, "aim %v", aim)
				break
			}
		}
	}
}
