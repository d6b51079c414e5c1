package mesh

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/membership"
	"eiderfold/memory"
	"eiderfold/port"
	"eiderfold/settings"
)

// idleNode returns a node that has learned of others but dials none.
func idleNode(t *testing.T, name, dataCentre string, members []link.Member) *Node {
	t.Helper()
	s, err := settings.ParseMesh("test", fmt.Appendf(nil, `
node: %s
data_centre: %s
upstream: {address: "127.0.0.1:1", service: s0}
listen: {callers: "127.0.0.1:2", links: "127.0.0.1:3", reports: "127.0.0.1:4", ready: "127.0.0.1:5"}
store: "127.0.0.1:6"
`, name, dataCentre))
	require.NoError(t, err)
	n := New(s, port.Platform{Store: memory.NewDirectory()}, NewMetrics(), zap.NewNop())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	n.links.ctx = ended
	for _, m := range members {
		n.links.learn(link.Record{Member: m, Version: 1})
		n.links.update(membership.Ticked{At: time.Now()})
	}
	for _, p := range n.links.all() {
		n.links.closeDrained(p)
	}
	return n
}

// The number of links must stay bounded for each service in fleets of several sizes, and
// nearly every gate must be dialed by some node.
func TestLinkCountIsBounded(t *testing.T) {
	for _, size := range []int{20, 300, 1200} {
		var members []link.Member
		for i := range size {
			members = append(members, link.Member{Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
				DataCentre: fmt.Sprintf("d%d", i%4), Service: fmt.Sprintf("s%d", i%2)})
		}
		dialed := map[string]int{}
		const dialers = 40
		for i := range dialers {
			n := idleNode(t, fmt.Sprintf("x%d", i), fmt.Sprintf("d%d", i%4), members)
			for address := range n.links.peers {
				dialed[address]++
			}
			// Two services, near and far: the order in which nodes are learned must not
			// matter, as displaced links are dropped.
			assert.LessOrEqual(t, len(n.links.peers), min(size, 2*(nearLinks+farLinks)), "size %d", size)
			assert.Equal(t, size+1, n.links.position().fleet)
		}
		if size <= 2*nearLinks {
			assert.Len(t, dialed, size)
		}
		assert.Greater(t, len(dialed), size*8/10, "gates dialed by some node, of %d", size)
	}
}

// Counts the nodes of a large fleet that watch the store.
func TestWatcherCount(t *testing.T) {
	var members []link.Member
	for i := range 300 {
		members = append(members, link.Member{Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), DataCentre: "d0", Service: "s0"})
	}
	watching := 0
	for i := range members {
		n := idleNode(t, fmt.Sprintf("n%d", i), "d0", append(append([]link.Member(nil), members[:i]...), members[i+1:]...))
		for _, p := range n.links.all() {
			n.forwarder.Connected(p.endpoint, nil, 1)
		}
		if n.links.amongFirst(watchers) {
			watching++
		}
	}
	assert.Equal(t, watchers, watching)
	alone := idleNode(t, "alone", "d0", members)
	assert.True(t, alone.links.amongFirst(watchers), "an isolated node watches")
}

// Watches of different nodes must end spread over the round, whenever they begin, so that a
// change that all watches miss is soon found.
func TestWatchesEndInTurn(t *testing.T) {
	for _, among := range []int{1, 3, watchers} {
		round := watchRound(among)
		assert.LessOrEqual(t, round, 10*time.Second)
		for _, offset := range []time.Duration{0, 1, time.Second / 3, 5 * time.Second} {
			now := time.Unix(1_000_000, 0).Add(offset)
			turns := map[time.Duration]bool{}
			for place := range among {
				wait := watchWait(now, place, among)
				assert.GreaterOrEqual(t, wait, watchTurn/2)
				assert.LessOrEqual(t, wait, round+watchTurn)
				turns[time.Duration(now.Add(wait).UnixNano()%int64(round))] = true
			}
			assert.Len(t, turns, among, "one turn each")
		}
		assert.Equal(t, watchWait(time.Unix(5, 0), among-1, among), watchWait(time.Unix(5, 0), among+7, among), "a position beyond the watchers takes the last turn")
	}
}

// Guards against store load that grows with the fleet: nodes that do not watch must
// together read the operator state no more often than a hundred nodes do.
func TestPollingLoadIsBounded(t *testing.T) {
	for _, fleet := range []int{100, 1_000, 4_000, 10_000} {
		perSecond := float64(fleet) / pollPause(fleet).Seconds()
		assert.InDelta(t, 100/pollEvery.Seconds(), perSecond, 0.01, "%d nodes", fleet)
	}
	assert.Equal(t, pollEvery, pollPause(3))
}

// Counts the status messages to a near and a far node while a gate changes its mode ten
// times a second: the far node gets at most one per farStatusEvery.
func TestStatusRateToFarNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	conn, other := net.Pipe()
	defer conn.Close()  //nolint:errcheck // Nothing is sent on it.
	defer other.Close() //nolint:errcheck // Nothing is sent on it.
	in := link.New(conn)
	near, far := &inbound{near: true}, &inbound{}
	sent := map[*inbound]int{}
	for i := range 50 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, dialer := range []*inbound{near, far} {
			dialer.statusPending = true
			if dialer.near {
				dialer.nextStatus = at
			}
			dialer.sendStatus(in, link.Status{}, at)
			if !dialer.statusPending {
				sent[dialer]++
			}
		}
	}
	assert.Equal(t, 50, sent[near])
	assert.Equal(t, 5, sent[far])
	far.statusPending = true
	far.sendStatus(in, link.Status{}, now.Add(7*time.Second))
	assert.False(t, far.statusPending, "the last status is sent eventually")
}

// Opens a gate while another node dials: the last status that the other node receives must
// be the open one.
func TestHelloPrecedesNewerStatus(t *testing.T) {
	for range 300 {
		n := idleNode(t, "x", "d0", nil)
		n.directory.loaded.Store(true) // The gate checks here whether an upstream is leaving.
		conn, other := net.Pipe()
		go n.links.serve(link.New(other))
		last := make(chan link.Status, 64)
		dialed := link.New(conn)
		go dialed.Run(func(f *link.Frame) { //nolint:errcheck // Returns when the link closes.
			switch {
			case f.Hello != nil:
				last <- f.Hello.Status
			case f.Status != nil:
				last <- *f.Status
			}
		})
		go n.gate.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "s0", Slots: 2, Sequence: 1})
		require.Eventually(t, func() bool { return n.gate.Status().Mode == link.ModeOpen }, waitTimeout, time.Millisecond)
		received := link.Status{}
		require.Eventually(t, func() bool {
			for {
				select {
				case received = <-last:
					continue
				default:
				}
				return received.Mode == link.ModeOpen
			}
		}, time.Second, time.Millisecond, "the last status that the peer received is not open")
		dialed.Close()
	}
}
