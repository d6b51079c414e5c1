package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/ingress"
	"eiderfold/link"
	"eiderfold/membership"
)

// newJoiningNode returns a node that has just started and knows others that it cannot reach
// yet.
func newJoiningNode(others ...string) *Node {
	n := &Node{self: link.Member{Name: "new"}, directory: &directory{}, joinDeadline: time.Now().Add(joinTimeout)}
	n.links = &links{node: n, view: membership.New(link.Record{Member: n.self}, membership.LinkCounts{}), peers: map[string]*peer{}}
	for _, name := range others {
		m := link.Member{Name: name, Address: name}
		n.links.view.Update(membership.Received{At: time.Now(), Records: []link.Record{{Member: m}}})
		n.links.peers[name] = &peer{links: n.links, endpoint: ingress.NewEndpoint(m)}
	}
	return n
}

// A starting node must wait until the directory was read and most others are reachable, but
// no longer than joinTimeout.
func TestAwaitJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newJoiningNode("a", "b", "c")
		begin := time.Now()
		time.AfterFunc(2*joinPoll, func() { n.directory.discovered.Store(true) })
		time.AfterFunc(4*joinPoll, func() {
			f := ingress.NewForwarder("", ingress.NewEndpoints("", 0), nil, nil, nil)
			f.Connected(n.links.peers["a"].endpoint, localSink{n}, 1)
			f.Connected(n.links.peers["b"].endpoint, localSink{n}, 1)
		})
		n.awaitJoin(t.Context())
		assert.InDelta(t, 4.5, float64(time.Since(begin))/float64(joinPoll), 0.6)
	})
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		newJoiningNode("a").awaitJoin(t.Context())
		assert.InDelta(t, joinTimeout.Seconds(), time.Since(begin).Seconds(), joinPoll.Seconds())
	})
}
