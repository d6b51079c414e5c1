package gate

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
)

// promptWorker answers everything at once.
type promptWorker struct{ stuckWorker }

func (promptWorker) do(context.Context, *link.Content, port.OutgoingTerms, bool) (*answer, *failure) {
	return &answer{status: http.StatusOK, header: http.Header{}}, nil
}

// sentFrames keeps what a gate sends.
type sentFrames chan *link.Frame

func (s sentFrames) Send(f *link.Frame) bool {
	s <- f
	return true
}

// An instance that is suspended does not count that time, so a node asks for an order long
// after its gate has forgotten how it ended. Told that the gate had never seen it, the
// node promised its caller that an order which had run had not, and never would.
func TestForgottenOrderIsNotCalledUnseen(t *testing.T) {
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	g.client = promptWorker{}
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
	require.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 5*time.Second, time.Millisecond)
	sent := make(sentFrames, 8)
	order := link.Key{Origin: 7, Number: 3}
	g.Handle(sent, &link.Frame{Offer: &link.Offer{Key: order, Service: "a", Left: time.Second}})
	require.NotNil(t, (<-sent).Granted)
	g.Handle(sent, &link.Frame{Commit: &link.Commit{Key: order, Left: time.Second, Content: &link.Content{}}})
	require.NotNil(t, (<-sent).Answer)

	ask := func(k link.Key) *link.Frame {
		g.Handle(sent, &link.Frame{Ask: &link.Ask{Key: k}})
		return <-sent
	}
	assert.NotNil(t, ask(order).Answer, "while it is kept")
	g.expire(time.Now().Add(keptAnswers + time.Second))
	assert.NotNil(t, ask(order).Failed, "after that")
	for _, unseen := range []link.Key{{Origin: 7, Number: 4}, {Origin: 8, Number: 1}} {
		refused := ask(unseen).Refused
		require.NotNil(t, refused, unseen)
		assert.Equal(t, link.ReasonNeverSeen, refused.Reason)
	}
}
