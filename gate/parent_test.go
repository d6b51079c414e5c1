package gate

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
)

// stuckWorker works until it is told to end.
type stuckWorker struct{ end chan struct{} }

func (w stuckWorker) do(context.Context, *link.Content, port.OutgoingTerms, bool) (*answer, *failure) {
	<-w.end
	return nil, &failure{outcome: NoEvidence}
}

func (stuckWorker) processEnded(context.Context) bool { return false }

func (stuckWorker) checkHealth(context.Context, string) (string, error) { return "", nil }

func (stuckWorker) drop(bool) {}

// deafSink takes every message and drops it.
type deafSink struct{}

func (deafSink) Send(*link.Frame) bool { return true }

// TestCallsOfRepeatsAreTold runs a first attempt and a repeat: a call names the attempt
// that makes it, which is known only while it runs, with its terms.
func TestCallsOfRepeatsAreTold(t *testing.T) {
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	w := stuckWorker{end: make(chan struct{})}
	g.client = w
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
	assert.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 10*time.Second, time.Millisecond)
	first, repeat := link.Key{Origin: 1, Number: 1}, link.Key{Origin: 1, Number: 2}
	g.Handle(deafSink{}, &link.Frame{Offer: &link.Offer{Key: first, Attempt: "a1", Service: "a", Left: time.Second, Retryable: true, Content: &link.Content{}}})
	g.Handle(deafSink{}, &link.Frame{Offer: &link.Offer{Key: repeat, Attempt: "b2", Service: "a", Left: 3 * time.Second, Aim: time.Second, Priority: 1, Retryable: true}})
	_, ok := g.Parent("b2")
	assert.False(t, ok, "it does not run yet")
	g.Handle(deafSink{}, &link.Frame{Commit: &link.Commit{Key: repeat, Left: 2 * time.Second, Content: &link.Content{}, Repeat: true}})
	p, ok := g.Parent("b2")
	assert.True(t, ok)
	assert.True(t, p.Repeat)
	assert.Equal(t, 1, p.Priority)
	assert.Positive(t, p.Deadline.Sub(p.Aim))
	p, ok = g.Parent("a1")
	assert.True(t, ok)
	assert.False(t, p.Repeat, "the first attempt is none")
	for _, name := range []string{"", "c3", "b"} {
		_, ok = g.Parent(name)
		assert.False(t, ok, "%q does not run here", name)
	}
	close(w.end)
	assert.Eventually(t, func() bool {
		_, ok := g.Parent("b2")
		return !ok
	}, 10*time.Second, time.Millisecond)
}
