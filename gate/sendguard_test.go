package gate

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
	"eiderfold/quarantine"
)

// writingClient stands still between the guard's permission and the write until release is closed.
type writingClient struct {
	blockingClient
	begun   chan bool // What the guard answered.
	release chan struct{}
}

func (c writingClient) do(_ context.Context, _ *link.Content, _ port.OutgoingMetadata, _ bool, guard sendGuard) (*answer, *failure) {
	f := guard.begin()
	c.begun <- f == nil
	if f != nil {
		return nil, f
	}
	<-c.release
	guard.end()
	return &answer{status: http.StatusOK, header: http.Header{}}, nil
}

// heldClient waits before it asks the guard until release is closed.
type heldClient struct {
	blockingClient
	held    chan struct{} // Gets a value for each request that waits.
	release chan struct{}
}

func (c heldClient) do(_ context.Context, _ *link.Content, _ port.OutgoingMetadata, _ bool, guard sendGuard) (*answer, *failure) {
	c.held <- struct{}{}
	<-c.release
	if f := guard.begin(); f != nil {
		return nil, f
	}
	guard.end()
	return &answer{status: http.StatusOK, header: http.Header{}}, nil
}

// startOrder returns an open gate with a client, which has started an order, and the frames that it sends.
func startOrder(t *testing.T, c upstreamClient) (g *Gate, sent sentFrames) {
	t.Helper()
	g = New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	g.client = c
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
	require.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 5*time.Second, time.Millisecond)
	sent = make(sentFrames, 8)
	order := link.Key{Origin: 7, Number: 1}
	g.Handle(sent, &link.Frame{Offer: &link.Offer{Key: order, Service: "a", TimeLeft: time.Minute}})
	require.NotNil(t, (<-sent).Granted)
	g.Handle(sent, &link.Frame{Commit: &link.Commit{Key: order, TimeLeft: time.Minute, Content: &link.Content{Method: http.MethodPost, Target: "/x"}}})
	return g, sent
}

// startHeld is startOrder with the order held before its write.
func startHeld(t *testing.T) (g *Gate, c heldClient, sent sentFrames) {
	t.Helper()
	c = heldClient{held: make(chan struct{}, 1), release: make(chan struct{})}
	g, sent = startOrder(t, c)
	<-c.held
	return g, c, sent
}

// A request that was started before the data centre was evacuated must not be written afterwards.
func TestRequestWrittenAfterEvacuation(t *testing.T) {
	g, c, sent := startHeld(t)
	g.Evacuate(true)
	close(c.release)
	refused := (<-sent).Refused
	require.NotNil(t, refused)
	assert.Equal(t, link.ReasonClosed, refused.Reason)
}

// A request that was started before it was quarantined must not be written afterwards.
func TestRequestWrittenAfterQuarantine(t *testing.T) {
	g, c, sent := startHeld(t)
	request := quarantine.FingerprintOf(http.MethodPost, "", "/x", "", nil)
	for n := range 8 {
		g.tracker.Crashed(time.Now(), request, fmt.Sprintf("i-%d", n+2), time.Now())
	}
	require.Positive(t, g.tracker.Remaining(time.Now(), func() quarantine.Fingerprint { return request }))
	close(c.release)
	refused := (<-sent).Refused
	require.NotNil(t, refused)
	assert.Equal(t, link.ReasonQuarantined, refused.Reason)
	assert.Positive(t, refused.RetryAfter)
}

// A planned stop must let requests go on that were started before it.
func TestStopRefusesStartedRequest(t *testing.T) {
	g, c, sent := startHeld(t)
	g.Stop()
	close(c.release)
	assert.NotNil(t, (<-sent).Answer)
}

// While a process stands still between the last check and the write, the leaving of the upstream must not
// count as settled; later requests must not be written.
func TestLeavingSettledWhileWriteInProgress(t *testing.T) {
	c := writingClient{begun: make(chan bool, 1), release: make(chan struct{})}
	g, sent := startOrder(t, c)
	upstream := port.Incarnation{ID: "i-1"}
	require.True(t, <-c.begun)

	g.Report(port.Report{Incarnation: upstream, Service: "a", Leaving: true})
	passed, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.Error(t, g.AwaitWrites(passed, upstream))
	late := &attemptGuard{gate: g, attempt: &activeOffer{offer: &link.Offer{Content: &link.Content{}}}, upstream: upstream}
	assert.NotNil(t, late.begin())
	close(c.release)
	require.NoError(t, g.AwaitWrites(t.Context(), upstream))
	assert.NotNil(t, (<-sent).Answer)
}
