package mesh

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/memory"
)

// TestConfigurationNeverGoesBack offers older and invalid ones.
func TestConfigurationNeverGoesBack(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	b.meet()
	one.config.take(configurationText(9, "/nine/"), "test")
	one.config.take(configurationText(8), "test")
	one.config.take([]byte(`{"version":"r10","listeners":[{"authority":"","rules":[{"name":"x","routeKind":"idempotent"}]}]}`), "test")
	one.config.take([]byte(`{`), "test")
	version, _ := one.config.current()
	assert.EqualValues(t, 9, version)
	assert.Equal(t, 200, one.status(http.MethodGet, "/nine/x", "a1"))
	one.config.take(configurationText(10, "/ten/"), "test")
	version, _ = one.config.current()
	assert.EqualValues(t, 9, version, "a version that was refused does not come back with another text")
	one.config.take(configurationText(11), "test")
	version, _ = one.config.current()
	assert.EqualValues(t, 11, version)
}

// TestConfigurationPassesBetweenNodes changes it while the store turns all nodes
// but one away, and while no watch hears anything.
func TestConfigurationPassesBetweenNodes(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.addBirths(4)
	b.meet()
	for _, n := range b.nodes[1:] {
		n.store.denied.Store(true)
	}
	b.configure(5, "/five/")
	b.awaitVersion(5)
	b.nodes[0].store.denied.Store(true)
	b.nodes[1].store.denied.Store(false)
	b.store.SetFaults(memory.Faults{Deaf: true})
	b.configure(7, "/seven/")
	b.awaitVersion(7)
	b.store.SetFaults(memory.Faults{})
	b.store.Compact()
	b.configure(8)
	b.awaitVersion(8)
}

// TestAskedPeerThatIsGone asks a peer for a configuration whose link has died: the
// next one is asked, though its word came while the first was waited for.
func TestAskedPeerThatIsGone(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	two := b.add("two", "births")
	b.meet()
	one.store.denied.Store(true)
	two.store.denied.Store(true)
	near, far := net.Pipe()
	_ = far.Close()
	dead := link.New(near)
	dead.Close()
	one.config.request(9, dead)
	two.config.take(configurationText(9), "test")
	b.awaitVersion(9)
}

// TestFewNodesWatch leaves the watch to one node: the others hear of a change from
// it, and another one takes over when it is gone.
func TestFewNodesWatch(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.addBirths(4)
	for _, n := range b.nodes {
		n.config.mu.Lock()
		n.config.watchers = 1
		n.config.mu.Unlock()
	}
	b.meet()
	b.configure(5, "/five/")
	b.awaitVersion(5)
	for i, n := range b.nodes {
		if n.links.among(1) {
			n.stopNode()
			b.nodes = append(b.nodes[:i], b.nodes[i+1:]...)
			break
		}
	}
	b.configure(6)
	b.awaitVersion(6)
}

// TestLooksBackAtLowPrice reads the key as it is where a node has no configuration
// or watches, and as it was lately where its peers tell it of changes.
func TestLooksBackAtLowPrice(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.addBirths(2)
	b.meet()
	b.awaitVersion(3)
	for _, n := range b.nodes {
		require.Zero(t, n.store.peeks.Load(), "everybody watches or has no configuration")
	}
	for _, n := range b.nodes {
		n.config.mu.Lock()
		n.config.watchers = 1
		n.config.mu.Unlock()
		before := n.store.peeks.Load()
		_, _, err := n.config.read(t.Context())
		require.NoError(t, err)
		peeked := n.store.peeks.Load() > before
		assert.NotEqual(t, n.links.among(1), peeked, n.self.Name)
	}
}
