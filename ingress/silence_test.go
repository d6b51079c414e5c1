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

// Four of a service's twelve nodes stood still for eight seconds, and a tenth of its requests were not served though the
// other eight upstreams worked. Refused orders told "offers":4,"runs":0,"took":364, and three lines "gate silent" with
// their id: they had spent the whole time that a request is kept, 0.36 s, on gates that had answered nobody for seconds.
// A gate that did not answer an offer was avoided for one second, and after that, or whenever the others were full, the
// next caller's request found out anew that it is silent, 30 to 60 times a second over the fleet.

// answeringSink is a way to a gate that replied to a ping at a time.
type answeringSink struct {
	sentFrames
	ponged time.Time
}

// Ponged is when a ping was last replied to.
func (s *answeringSink) Ponged() time.Time { return s.ponged }

// pings counts how often the gate was asked for a sign of life.
func (s *answeringSink) pings() int {
	return s.sent(func(f *link.Frame) bool { return f.Ping != nil })
}

// offers counts the offers that were sent to the gate.
func (s *answeringSink) offers() int {
	return s.sent(func(f *link.Frame) bool { return f.Offer != nil })
}

// sent counts the messages of a kind that were sent to the gate.
func (s *answeringSink) sent(is func(*link.Frame) bool) int {
	n := 0
	for _, f := range s.frames {
		if is(f) {
			n++
		}
	}
	return n
}

// silentAndFull makes a service of a gate that stands still and one that is full, whose
// queue takes nothing.
func silentAndFull(now time.Time) (f *Forwarder, silent, full *Target, ways map[*Target]*answeringSink) {
	f = newTestForwarder()
	ways = map[*Target]*answeringSink{}
	for range 2 {
		n := NewTarget(link.Member{Service: "a", DataCentre: "near"})
		n.SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4}, now)
		ways[n] = &answeringSink{}
		f.Connected(n, ways[n], 1)
		f.targets.Add(n)
		if silent == nil {
			silent = n
			continue
		}
		full = n
	}
	return f, silent, full, ways
}

// newOrder returns an order that arrives now, with an aim of 1.5 seconds.
func newOrder(f *Forwarder, now time.Time) *flight {
	r := &route.Route{Target: 1500 * time.Millisecond, Attempts: 2}
	fl := &flight{forwarder: f, route: r, service: "a", usual: &core.Usual{}, content: &link.Content{}, began: now,
		deadline: now.Add(5 * time.Second), events: make(chan event, eventsKept), crowded: func() bool { return true }}
	fl.terms = overload.NewTerms(0, now, r.Target, fl.deadline)
	return fl
}

// refuseAll lets the full gate refuse what it was offered, and the other one stay silent,
// until the order has its answer. It returns how long that took.
func refuseAll(t *testing.T, fl *flight, full *Target, now time.Time) time.Duration {
	t.Helper()
	fl.next(now)
	for at := now; at.Before(fl.deadline); at = fl.wake() {
		for _, o := range append([]*offer(nil), fl.offers...) {
			if o.target == full {
				m := &link.Refused{Key: o.key, Reason: link.ReasonBusy, After: 20 * time.Millisecond}
				if r := fl.on(event{frame: &link.Frame{Refused: m}, key: o.key.Number}, at); r != nil {
					return at.Sub(now)
				}
			}
		}
		if r := fl.tick(at); r != nil {
			return at.Sub(now)
		}
	}
	t.Fatal("the order has no answer")
	return 0
}

// TestOrdersDoNotWaitForASilentGate sends an order each 50 ms for four seconds: only the
// first ones may be offered to the gate that stands still, until it had time to reply.
func TestOrdersDoNotWaitForASilentGate(t *testing.T) {
	begin := time.Unix(1000, 0)
	f, silent, full, ways := silentAndFull(begin)
	for after := time.Duration(0); after < 4*time.Second; after += 50 * time.Millisecond {
		refuseAll(t, newOrder(f, begin.Add(after)), full, begin.Add(after))
	}
	assert.LessOrEqual(t, ways[silent].offers(), 12, "orders that came before the gate was known to be silent")
	assert.Positive(t, ways[silent].pings(), "it is asked for a sign of life")
}

// TestSilentGateIsBackWithItsReply lets the gate reply to the ping that its silence brought
// about: from then on it is asked like any other.
func TestSilentGateIsBackWithItsReply(t *testing.T) {
	begin := time.Unix(1000, 0)
	f, silent, full, ways := silentAndFull(begin)
	refuseAll(t, newOrder(f, begin), full, begin)
	require.Positive(t, ways[silent].pings())
	later := begin.Add(5 * time.Second)
	w := want{service: "a", tried: []*Target{full}}
	assert.Nil(t, f.targets.choose(w, later).target, "it has not replied")
	ways[silent].ponged = begin.Add(4 * time.Second)
	assert.Equal(t, silent, f.targets.choose(w, later).target)
}

// TestSilentGatesAreAskedWhereNoneAnswers leaves a service with silent gates only: it may be
// this node that does not hear, and nobody else can serve the request.
func TestSilentGatesAreAskedWhereNoneAnswers(t *testing.T) {
	begin := time.Unix(1000, 0)
	f, silent, full, _ := silentAndFull(begin)
	f.targets.Remove(full)
	silent.suspect(begin)
	assert.Equal(t, silent, f.targets.choose(want{service: "a"}, begin.Add(5*time.Second)).target)
}
