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

// idleNode is a node that has learned of others and dials nobody.
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
		n.links.end(p)
	}
	return n
}

// TestLinksStayFew learns of fleets of several sizes: the number of links stays
// bounded for each service, and every gate is dialed by somebody.
func TestLinksStayFew(t *testing.T) {
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
			// Two services, near and far: however they were learned, what is displaced is dropped.
			assert.LessOrEqual(t, len(n.links.peers), min(size, 2*(nearLinks+farLinks)), "size %d", size)
			assert.Equal(t, size+1, n.links.standing().fleet)
		}
		if size <= 2*nearLinks {
			assert.Len(t, dialed, size)
		}
		assert.Greater(t, len(dialed), size*8/10, "gates that somebody dials, of %d", size)
	}
}

// TestWatchersAreFew counts who would watch in a large fleet.
func TestWatchersAreFew(t *testing.T) {
	var members []link.Member
	for i := range 300 {
		members = append(members, link.Member{Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), DataCentre: "d0", Service: "s0"})
	}
	watching := 0
	for i := range members {
		n := idleNode(t, fmt.Sprintf("n%d", i), "d0", append(append([]link.Member(nil), members[:i]...), members[i+1:]...))
		for _, p := range n.links.all() {
			n.forwarder.Connected(p.target, nil, 1)
		}
		if n.links.among(watchers) {
			watching++
		}
	}
	assert.Equal(t, watchers, watching)
	alone := idleNode(t, "alone", "d0", members)
	assert.True(t, alone.links.among(watchers), "a node that reaches nobody counts on nobody")
}

// TestWatchesEndInTurn begins watches at any time on nodes of a fleet: their ends
// are spread over the round, so that a change that no watch hears of is found by
// the next one to end.
func TestWatchesEndInTurn(t *testing.T) {
	for _, among := range []int{1, 3, watchers} {
		round := watchRound(among)
		assert.LessOrEqual(t, round, 10*time.Second)
		for _, offset := range []time.Duration{0, 1, time.Second / 3, 5 * time.Second} {
			now := time.Unix(1_000_000, 0).Add(offset)
			turns := map[time.Duration]bool{}
			for place := range among {
				wait := watchWait(now, place, among)
				assert.GreaterOrEqual(t, wait, watchPerNode/2)
				assert.LessOrEqual(t, wait, round+watchPerNode)
				turns[time.Duration(now.Add(wait).UnixNano()%int64(round))] = true
			}
			assert.Len(t, turns, among, "a turn for each")
		}
		assert.Equal(t, watchWait(time.Unix(5, 0), among-1, among), watchWait(time.Unix(5, 0), among+7, among), "one that is cut off takes the last turn")
	}
}

// Of 981 nodes all but twelve read the operators' keys twice a minute, a tenth of a call each:
// 200 calls' price a minute, and more with each node. However large a fleet is, its store is
// read so as often as by a hundred nodes.
func TestUnwatchedReadsDoNotGrow(t *testing.T) {
	for _, fleet := range []int{100, 1_000, 4_000, 10_000} {
		perSecond := float64(fleet) / unwatchedPause(fleet).Seconds()
		assert.InDelta(t, 100/unwatchedRead.Seconds(), perSecond, 0.01, "%d nodes", fleet)
	}
	assert.Equal(t, unwatchedRead, unwatchedPause(3))
}

// TestFarNodesHearOfTrialsInTurn counts what a node far away and a near one are
// told while a gate goes on trial and back ten times a second.
func TestFarNodesHearOfTrialsInTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	conn, other := net.Pipe()
	defer conn.Close()  //nolint:errcheck // Nothing is sent on it.
	defer other.Close() //nolint:errcheck // Nothing is sent on it.
	in := link.New(conn)
	near, far := &inbound{near: true}, &inbound{}
	told := map[*inbound]int{}
	for i := range 50 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, from := range []*inbound{near, far} {
			from.owed = true
			if from.near {
				from.next = at
			}
			from.tell(in, link.Status{}, at)
			if !from.owed {
				told[from]++
			}
		}
	}
	assert.Equal(t, 50, told[near])
	assert.Equal(t, 5, told[far])
	far.owed = true
	far.tell(in, link.Status{}, now.Add(7*time.Second))
	assert.False(t, far.owed, "the last state is told in the end")
}

// TestHelloIsNotOlderThanStatus opens a gate while a node dials: whatever the order
// in which it is told, what it hears last is that the gate is open.
func TestHelloIsNotOlderThanStatus(t *testing.T) {
	for range 300 {
		n := idleNode(t, "x", "d0", nil)
		n.directory.wasRead.Store(true) // Where its gate looks whether an upstream leaves.
		conn, other := net.Pipe()
		go n.links.serve(link.New(other))
		last := make(chan link.Status, 64)
		dialed := link.New(conn)
		go dialed.Run(func(f *link.Frame) { //nolint:errcheck // It ends with the link.
			switch {
			case f.Hello != nil:
				last <- f.Hello.Status
			case f.Status != nil:
				last <- *f.Status
			}
		})
		go n.gate.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "s0", Slots: 2, Sequence: 1})
		require.Eventually(t, func() bool { return n.gate.Status().Mode == link.ModeOpen }, patient, time.Millisecond)
		heard := link.Status{}
		require.Eventually(t, func() bool {
			for {
				select {
				case heard = <-last:
					continue
				default:
				}
				return heard.Mode == link.ModeOpen
			}
		}, time.Second, time.Millisecond, "the peer believes the gate closed")
		dialed.Close()
	}
}
