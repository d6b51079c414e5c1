package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/bodymemory"
	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
)

// A gate must not grant an offer whose body it can never hold: the body would be sent for nothing.
func TestGateGrantsOfferLargerThanItsMemory(t *testing.T) {
	const memory = 4 << 20
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop(), WithBodyMemory(bodymemory.New(memory)))
	g.client = instantClient{}
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
	require.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 5*time.Second, time.Millisecond)
	sent := make(sentFrames, 8)
	for i, c := range []struct {
		bytes   int64
		granted bool
	}{{0, true}, {memory / 2, true}, {memory, false}, {60 << 20, false}} {
		key := link.Key{Origin: 7, Number: uint64(i)}
		g.Handle(sent, &link.Frame{Offer: &link.Offer{Key: key, Service: "a", TimeLeft: time.Second, BodyBytes: c.bytes}})
		reply := <-sent
		if c.granted {
			assert.NotNil(t, reply.Granted, c.bytes)
			continue
		}
		assert.Equal(t, &link.Refused{Key: key, Reason: link.ReasonMemory}, reply.Refused)
	}
	assert.Equal(t, 2, g.ActiveOffers())
}
