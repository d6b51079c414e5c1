package mesh

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/membership"
)

// frozenNode sends a hello with an open gate to a node that dials it, and then only reads,
// like a process that is suspended with its connections open.
type frozenNode struct {
	member link.Member
	mu     sync.Mutex
	offers int
	pings  int
	ended  chan struct{} // Closed when the first link has ended.
}

// startFrozenNode starts a frozenNode of a service.
func startFrozenNode(t *testing.T, service string) *frozenNode {
	t.Helper()
	l, err := net.Listen("tcp4", nextHost()+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &frozenNode{ended: make(chan struct{}), member: link.Member{Name: "still", Address: l.Addr().String(), DataCentre: "here", Service: service}}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = l.Close() // Redialing fails.
		s.serve(c)
	}()
	return s
}

// serve sends the hello and counts the frames it receives, until the other side closes the
// link.
func (s *frozenNode) serve(c net.Conn) {
	defer close(s.ended)
	defer c.Close() //nolint:errcheck // Only the reads matter.
	hello := &link.Hello{Member: s.member, Process: 1, Status: link.Status{Mode: link.ModeOpen, Slots: 4, Upstream: "i-still"}}
	text, err := cbor.Marshal(&link.Frame{Hello: hello})
	if err != nil {
		return
	}
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)); err != nil {
		return
	}
	var prefix [4]byte
	for {
		if _, err := io.ReadFull(c, prefix[:]); err != nil {
			return
		}
		text := make([]byte, binary.BigEndian.Uint32(prefix[:]))
		if _, err := io.ReadFull(c, text); err != nil {
			return
		}
		f := &link.Frame{}
		if cbor.Unmarshal(text, f) == nil {
			s.count(f)
		}
	}
}

func (s *frozenNode) count(f *link.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Offer != nil {
		s.offers++
	}
	if f.Ping != nil {
		s.pings++
	}
}

func (s *frozenNode) counted() (offers, pings int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offers, s.pings
}

// Guards against a link to a suspended node that is never closed, because it was pinged only
// if an offer was pending when the link was checked, and offers to an unresponsive gate are
// withdrawn after 120 ms: one request a second waited for such a node.
func TestLinkToFrozenNodeCloses(t *testing.T) {
	b := newTestCluster(t)
	caller := b.add("one", "births")
	b.awaitReady()
	frozen := startFrozenNode(t, "births")
	caller.links.learn(link.Record{Member: frozen.member, Version: 1})
	caller.links.update(membership.Ticked{At: time.Now()})
	require.Eventually(t, func() bool { return len(caller.endpoints.Of("births")) == 2 }, waitTimeout, time.Millisecond)
	for i := 0; ; i++ {
		assert.Equal(t, http.StatusOK, caller.status(http.MethodPost, "/write/x", fmt.Sprintf("a%d", i)))
		select {
		case <-frozen.ended:
			offers, pings := frozen.counted()
			assert.Positive(t, pings)
			assert.LessOrEqual(t, offers, 3, "requests sent before it was suspected")
			assert.Positive(t, offers)
			return
		case <-time.After(20 * time.Millisecond):
		}
		require.Less(t, i, 500, "the link has not closed")
	}
}
