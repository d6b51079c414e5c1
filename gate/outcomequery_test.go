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

// instantClient answers every request at once.
type instantClient struct{ blockingClient }

func (instantClient) do(context.Context, *link.Content, port.OutgoingMetadata, bool, sendGuard) (*answer, *failure) {
	return &answer{status: http.StatusOK, header: http.Header{}}, nil
}

// sentFrames receives the frames that a gate sends.
type sentFrames chan *link.Frame

func (s sentFrames) Send(f *link.Frame) bool {
	s <- f
	return true
}

// An instance that was suspended may ask for a non-retryable request after its gate has dropped
// the result. The gate must not report the request as never seen, since it has run.
func TestExpiredResultIsNotReportedNeverSeen(t *testing.T) {
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	g.client = instantClient{}
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
	require.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 5*time.Second, time.Millisecond)
	sent := make(sentFrames, 8)
	ran := link.Key{Origin: 7, Number: 3}
	g.Handle(sent, &link.Frame{Offer: &link.Offer{Key: ran, Service: "a", TimeLeft: time.Second}})
	require.NotNil(t, (<-sent).Granted)
	g.Handle(sent, &link.Frame{Commit: &link.Commit{Key: ran, TimeLeft: time.Second, Content: &link.Content{}}})
	require.NotNil(t, (<-sent).Answer)

	ask := func(k link.Key) *link.Frame {
		g.Handle(sent, &link.Frame{OutcomeQuery: &link.OutcomeQuery{Key: k}})
		return <-sent
	}
	assert.NotNil(t, ask(ran).Answer, "while the result is kept")
	g.expire(time.Now().Add(answerRetention + time.Second))
	assert.NotNil(t, ask(ran).Failed, "after the result has expired")
	for _, unseen := range []link.Key{{Origin: 7, Number: 4}, {Origin: 8, Number: 1}} {
		refused := ask(unseen).Refused
		require.NotNil(t, refused, unseen)
		assert.Equal(t, link.ReasonNeverSeen, refused.Reason)
	}
}

// An offer that was reported as never seen must not start, nor end the process: its commit may be under way when the
// query comes over another link.
func TestNeverSeenOfferIsStarted(t *testing.T) {
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	g.client = instantClient{}
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 1, Sequence: 1})
	require.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 5*time.Second, time.Millisecond)
	sent := make(sentFrames, 8)
	offer := func(number uint64) link.Key {
		k := link.Key{Origin: 7, Number: number}
		g.Handle(sent, &link.Frame{Offer: &link.Offer{Key: k, Service: "a", TimeLeft: time.Second}})
		require.NotNil(t, (<-sent).Granted, "a slot for offer %d", number)
		return k
	}
	k := offer(1)
	g.Handle(sent, &link.Frame{OutcomeQuery: &link.OutcomeQuery{Key: k}})
	require.Equal(t, link.ReasonNeverSeen, (<-sent).Refused.Reason)
	g.update(Committed{At: time.Now(), Key: k}) // The second part of a commit that found the offer before the query.
	offer(2)                                    // The slot is free.
	assert.Empty(t, sent)
}
