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

func (stuckWorker) checkHealth(context.Context, string) (string, error) { return "", nil }

func (stuckWorker) drop(bool) {}

// deafSink takes every message and drops it.
type deafSink struct{}

func (deafSink) Send(*link.Frame) bool { return true }

// TestCallsOfRepeatsAreTold runs a first attempt and a repeat: only calls with the
// repeat's deadline are made by a repeated run, and only while it runs.
func TestCallsOfRepeatsAreTold(t *testing.T) {
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	w := stuckWorker{end: make(chan struct{})}
	g.client = w
	g.Report(port.Report{Upstream: "i-1", Service: "a", Slots: 4, Sequence: 1})
	assert.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 10*time.Second, time.Millisecond)
	now := time.Now()
	first, repeat := link.Key{Origin: 1, Number: 1}, link.Key{Origin: 1, Number: 2}
	g.Handle(deafSink{}, &link.Frame{Offer: &link.Offer{Key: first, Service: "a", Left: time.Second, Retryable: true, Content: &link.Content{}}})
	g.Handle(deafSink{}, &link.Frame{Offer: &link.Offer{Key: repeat, Service: "a", Left: 3 * time.Second, Retryable: true}})
	assert.False(t, g.RunsRepeat(now.Add(3*time.Second)), "it does not run yet")
	g.Handle(deafSink{}, &link.Frame{Commit: &link.Commit{Key: repeat, Left: 2 * time.Second, Content: &link.Content{}, Repeat: true}})
	g.mu.Lock()
	deadline := g.calls[repeat].deadline
	g.mu.Unlock()
	assert.True(t, g.RunsRepeat(deadline.Add(-parentTolerance/2)))
	assert.False(t, g.RunsRepeat(deadline.Add(-10*parentTolerance)))
	assert.False(t, g.RunsRepeat(now.Add(time.Second)), "the first attempt is none")
	close(w.end)
	assert.Eventually(t, func() bool { return !g.RunsRepeat(deadline) }, 10*time.Second, time.Millisecond)
}
