package mesh

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/memory"
)

// Offers older and invalid configurations, which must not replace the current one.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	one.config.apply(configurationText(9, "/nine/"), "test")
	one.config.apply(configurationText(8), "test")
	one.config.apply([]byte(`{"version":"r10","listeners":[{"authority":"","rules":[{"name":"x","routeKind":"idempotent"}]}]}`), "test")
	one.config.apply([]byte(`{`), "test")
	version, _ := one.config.current()
	assert.EqualValues(t, 9, version)
	assert.Equal(t, 200, one.status(http.MethodGet, "/nine/x", "a1"))
	one.config.apply(configurationText(10, "/ten/"), "test")
	version, _ = one.config.current()
	assert.EqualValues(t, 9, version, "a rejected version is not accepted with another text")
	one.config.apply(configurationText(11), "test")
	version, _ = one.config.current()
	assert.EqualValues(t, 11, version)
}

// Changes the configuration while the store refuses all nodes but one, and while watches
// miss changes: nodes must receive it from each other.
func TestConfigurationSpreadsBetweenNodes(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.addBirths(4)
	b.awaitReady()
	for _, n := range b.nodes[1:] {
		n.store.denied.Store(true)
	}
	b.configure(5, "/five/")
	b.awaitVersion(5)
	b.nodes[0].store.denied.Store(true)
	b.nodes[1].store.denied.Store(false)
	b.store.SetFaults(memory.Faults{DropChanges: true})
	b.configure(7, "/seven/")
	b.awaitVersion(7)
	b.store.SetFaults(memory.Faults{})
	b.store.Compact()
	b.configure(8)
	b.awaitVersion(8)
}

// Requests a configuration from a peer whose link is broken: another peer must be asked,
// although its announcement came while the first request was pending.
func TestRequestToUnresponsivePeer(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	two := b.add("two", "births")
	b.awaitReady()
	one.store.denied.Store(true)
	two.store.denied.Store(true)
	near, far := net.Pipe()
	_ = far.Close()
	dead := link.New(near)
	dead.Close()
	one.config.request(9, dead)
	two.config.apply(configurationText(9), "test")
	b.awaitVersion(9)
}

// With one watcher, the others must receive changes from it, and another node must take
// over when it stops.
func TestFewNodesWatch(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.addBirths(4)
	for _, n := range b.nodes {
		n.config.mu.Lock()
		n.config.watchers = 1
		n.config.mu.Unlock()
	}
	b.awaitReady()
	b.configure(5, "/five/")
	b.awaitVersion(5)
	for i, n := range b.nodes {
		if n.links.amongFirst(1) {
			n.stopNode()
			b.nodes = append(b.nodes[:i], b.nodes[i+1:]...)
			break
		}
	}
	b.configure(6)
	b.awaitVersion(6)
}

// All watchers may be suspended at once, while their links still count as up: the others must notice
// that nobody watches the store, and get the next version.
func TestConfigurationArrivesWhileWatchersAreSuspended(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.watchers = 1
	b.addBirths(4)
	b.awaitReady()
	b.awaitVersion(3)
	for _, n := range b.nodes {
		if n.links.amongFirst(b.watchers) {
			n.store.frozen.Store(true)
		}
	}
	b.configure(5, "/five/")
	b.awaitVersion(5)
}

// A heartbeat that arrives again must not count: nodes that pass it on to each other would otherwise
// hear of a watcher that has ended for ever.
func TestHeartbeatCountsOnce(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	one.stopNode() // It sends no more heartbeats of its own.
	c := one.config
	start := c.heartbeats.last
	c.noteHeartbeat(&link.Heartbeat{Process: 1, Sequence: 2})
	first := c.heartbeats.last
	assert.True(t, first.After(start))
	for _, sequence := range []uint64{2, 1} {
		c.noteHeartbeat(&link.Heartbeat{Process: 1, Sequence: sequence})
		assert.Equal(t, first, c.heartbeats.last)
	}
	c.noteHeartbeat(&link.Heartbeat{Process: 2, Sequence: 1})
	assert.True(t, c.heartbeats.last.After(first))
}

// Only a node that watches or has no configuration may read the current state; one that
// receives changes from its peers must use the cheaper stale read.
func TestStaleReadWithoutWatch(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.addBirths(2)
	b.awaitReady()
	b.awaitVersion(3)
	for _, n := range b.nodes {
		require.Zero(t, n.store.peeks.Load(), "every node watches or has no configuration")
	}
	for _, n := range b.nodes {
		n.config.mu.Lock()
		n.config.watchers = 1
		n.config.mu.Unlock()
		before := n.store.peeks.Load()
		_, _, err := n.config.read(t.Context())
		require.NoError(t, err)
		peeked := n.store.peeks.Load() > before
		assert.NotEqual(t, n.links.amongFirst(1), peeked, n.self.Name)
	}
}

// While the store refuses the calls of all watchers, another node must watch it and send the
// change to them, although the watchers keep running.
func TestChangeArrivesWhileStoreRefusesWatchers(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.watchers = 2
	b.addBirths(5)
	b.awaitReady()
	refused := 0
	for _, n := range b.nodes {
		if n.links.amongFirst(b.watchers) {
			n.store.denied.Store(true)
			refused++
		}
	}
	require.Equal(t, b.watchers, refused)
	b.configure(5, "/five/")
	b.awaitVersion(5)
}

// The only node that reaches the store for others may end: a watcher that reaches it no more must ask
// again as soon as it hears of nobody who does, not only when the last request expires.
func TestWatcherDelegatesAgainWhenDelegatesFallSilent(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.watchers = 1
	b.addBirths(3)
	b.awaitReady()
	watcher := b.nodes[slices.IndexFunc(b.nodes, func(n *testNode) bool { return n.links.amongFirst(1) })]
	c := watcher.config
	now := time.Now().Add(time.Hour)
	asks := func(after time.Duration) bool {
		before := c.delegation.next
		c.delegateWatch(now.Add(after))
		return c.delegation.next != before
	}
	assert.True(t, asks(0))
	assert.False(t, asks(time.Second))
	assert.True(t, asks(delegationTime/2), "nobody has been heard since")
	c.mu.Lock()
	c.heartbeats.lastReached = now.Add(delegationTime)
	c.mu.Unlock()
	assert.False(t, asks(delegationTime+time.Second), "a delegate reaches the store")
	assert.True(t, asks(2*delegationTime))
}

// Guards against a fleet of which every node retries its calls while the store is down: after a
// failed call only watchers may retry before the next poll is due.
func TestOnlyWatchersRetry(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.watchers = 1
	b.addBirths(3)
	b.awaitReady()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range b.nodes {
		pause := backoff{min: watchRetry, max: watchRetryMax}
		n.config.awaitRetry(ended, &pause)
		assert.Equal(t, n.config.watches(), pause.last > 0, n.self.Name)
	}
}

// Guards against a watcher that asks a few random nodes to watch the store in its place, none of
// which reaches it either, while a node that does is not asked: if none confirms, all linked
// nodes must be asked, within the same round.
func TestAllLinkedNodesAreAskedToWatch(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.watchers = 1
	b.addBirths(10)
	b.awaitReady()
	var watcher *testNode
	for _, n := range b.nodes {
		n.store.denied.Store(true)
		if n.links.amongFirst(b.watchers) {
			watcher = n
		}
	}
	others := len(b.nodes) - 1
	first := watcher.links.gossipFanout()
	require.Less(t, first, others)
	require.Eventually(t, func() bool { return delegations(t, watcher) > first }, waitTimeout, time.Millisecond)
	assert.Equal(t, first+others, delegations(t, watcher))
	watcher.store.denied.Store(false)
	b.configure(5, "/five/")
	b.awaitVersion(5)
}

// delegations returns how many requests to watch a node has sent.
func delegations(t *testing.T, n *testNode) int {
	t.Helper()
	var counts map[string]int
	require.NoError(t, json.Unmarshal([]byte(n.metrics.Counts()), &counts))
	return counts["watch_delegated"]
}
