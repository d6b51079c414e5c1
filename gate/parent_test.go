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

// blockingClient blocks each request until end is closed.
type blockingClient struct{ end chan struct{} }

func (w blockingClient) do(context.Context, *link.Content, port.OutgoingMetadata, bool, sendGuard) (*answer, *failure) {
	<-w.end
	return nil, &failure{outcome: NoEvidence}
}

func (blockingClient) processEnded(context.Context) bool { return false }

func (blockingClient) checkHealth(context.Context, string) (*healthAnswer, error) {
	return &healthAnswer{healthy: true}, nil
}

func (blockingClient) closeIdle(bool) {}

// discardSink accepts every frame and discards it.
type discardSink struct{}

func (discardSink) Send(*link.Frame) bool { return true }

// Parent must return the priority, the deadlines, the repeat flag and the client account of a
// running attempt, and nothing for one that does not run.
func TestParentReportsRepeats(t *testing.T) {
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	w := blockingClient{end: make(chan struct{})}
	g.client = w
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
	assert.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 10*time.Second, time.Millisecond)
	first, repeat := link.Key{Origin: 1, Number: 1}, link.Key{Origin: 1, Number: 2}
	g.Handle(discardSink{}, &link.Frame{Offer: &link.Offer{Key: first, Attempt: "a1", Service: "a", Account: "office", Weight: 2.5, TimeLeft: time.Second, Retryable: true, Content: &link.Content{}}})
	g.Handle(discardSink{}, &link.Frame{Offer: &link.Offer{Key: repeat, Attempt: "b2", Service: "a", Nested: true, ParentAccount: "court", TimeLeft: 3 * time.Second, Target: time.Second, Priority: 1, Retryable: true}})
	_, ok := g.Parent("b2")
	assert.False(t, ok, "it does not run yet")
	g.Handle(discardSink{}, &link.Frame{Commit: &link.Commit{Key: repeat, TimeLeft: 2 * time.Second, Content: &link.Content{}, Repeat: true}})
	p, ok := g.Parent("b2")
	assert.True(t, ok)
	assert.True(t, p.Repeat)
	assert.Equal(t, 1, p.Priority)
	assert.Equal(t, "court", p.Account, "of a nested request, the account of its parent")
	assert.Positive(t, p.Deadline.Sub(p.TargetDeadline))
	p, ok = g.Parent("a1")
	assert.True(t, ok)
	assert.False(t, p.Repeat, "the first attempt is no repeat")
	assert.Equal(t, "office", p.Account)
	assert.Equal(t, 2.5, p.Weight)
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
