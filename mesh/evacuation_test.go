package mesh

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/memory"
	"eiderfold/platform"
)

// addAt starts a node of the service births in a data centre.
func (b *testCluster) addAt(name, dataCentre string) *testNode {
	b.t.Helper()
	n := b.add(name, "births")
	n.stopNode()
	n.yaml = strings.Replace(n.yaml, "data_centre: here", "data_centre: "+dataCentre, 1)
	n.start()
	n.report(2, false)
	return n
}

// evacuate marks a data centre as evacuated.
func (b *testCluster) evacuate(dataCentre string) {
	b.t.Helper()
	require.NoError(b.t, b.store.Put(context.Background(), platform.EvacuationPrefix+dataCentre, []byte("{}")))
}

// endEvacuation removes the mark.
func (b *testCluster) endEvacuation(dataCentre string) {
	b.t.Helper()
	require.NoError(b.t, b.store.Remove(context.Background(), platform.EvacuationPrefix+dataCentre))
}

// awaitMode waits until a node's gate is in a mode.
func (n *testNode) awaitMode(mode link.Mode) {
	n.cluster.t.Helper()
	require.Eventually(n.cluster.t, func() bool { return n.gateMode() == mode }, waitTimeout, time.Millisecond)
}

// Guards against requests to upstreams of an evacuated data centre: its gate must close,
// its callers must be served elsewhere, and all must be undone once the key is removed.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	north := b.addAt("north", "north")
	south := b.addAt("south", "south")
	b.awaitReady()
	require.Equal(t, 200, north.status(http.MethodPost, "/write/x", "a0"))
	b.evacuate("north")
	north.awaitMode(link.ModeClosed)
	for i, from := range []*testNode{north, south} {
		attempt := []string{"a1", "a2"}[i]
		assert.Equal(t, 200, from.status(http.MethodPost, "/write/x", attempt))
		assert.Zero(t, north.upstream.ran(attempt))
	}
	assert.Equal(t, []string{"north"}, south.Dump().Evacuated)
	b.endEvacuation("north")
	north.awaitMode(link.ModeOpen)
	assert.Equal(t, 200, north.status(http.MethodPost, "/write/x", "a3"))
}

// A node that the store refuses must receive an evacuation from its peers, also after a
// restart.
func TestEvacuationSpreadsBetweenNodes(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	north := b.addAt("north", "north")
	south := b.addAt("south", "south")
	b.awaitReady()
	north.store.denied.Store(true)
	b.evacuate("north")
	north.awaitMode(link.ModeClosed)
	north.stopNode()
	north.start()
	north.report(3, false)
	require.Eventually(t, func() bool { return north.ready() }, waitTimeout, time.Millisecond)
	assert.Equal(t, 200, north.status(http.MethodPost, "/write/x", "a1"))
	assert.Zero(t, north.upstream.ran("a1"))
	south.store.denied.Store(true)
	north.store.denied.Store(false)
	b.endEvacuation("north")
	north.awaitMode(link.ModeOpen)
	require.Eventually(t, func() bool { return len(south.Dump().Evacuated) == 0 }, waitTimeout, time.Millisecond)
}

// When all upstreams of a service are evacuated, requests must be refused at once, with a
// Retry-After, rather than queued until they expire.
func TestEvacuationOfAllRefusesAtOnce(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	b.evacuate("here")
	one.awaitMode(link.ModeClosed)
	r, _, err := one.ask(context.Background(), http.MethodGet, "/look/x", "a1")
	require.NoError(t, err)
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
}

// Restores the store from a copy older than the evacuation, so that its revisions go back
// and the key is missing until operators write it again. The data centre must stay
// evacuated meanwhile, and later changes must count although their revisions were used
// before.
func TestEvacuationSurvivesStoreRestore(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	north := b.addAt("north", "north")
	b.addAt("south", "south")
	b.awaitReady()
	backup := b.store.Backup()
	b.evacuate("north")
	b.configure(4)
	b.awaitVersion(4)
	north.awaitMode(link.ModeClosed)
	b.store.Restore(backup)
	require.Eventually(t, func() bool { return north.evacuation.current().at.Era == 1 }, waitTimeout, time.Millisecond)
	assert.Equal(t, link.ModeClosed, north.gateMode())
	b.evacuate("north")
	b.configure(5, "/five/")
	b.awaitVersion(5)
	time.Sleep(rewriteWindow + observeTime)
	assert.Equal(t, link.ModeClosed, north.gateMode())
	b.endEvacuation("north")
	north.awaitMode(link.ModeOpen)
}

// A route restricted to some regions must be served nowhere else, whether retryable or not,
// even if no upstream is left.
func TestRequestsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	b := &testCluster{t: t, store: memory.NewDirectory()}
	text := strings.Replace(string(configurationText(3)), `"name":"r1",`, `"name":"r1","allowedRegions":["upland"],`, 1)
	text = strings.Replace(text, `"name":"r2",`, `"name":"r2","allowedRegions":["island"],`, 1)
	require.NoError(t, b.store.Put(t.Context(), platform.ConfigurationKey, []byte(text)))
	north := b.addAt("north", "north")
	south := b.addAt("south", "south")
	for _, n := range b.nodes {
		n.stopNode()
		n.yaml += "regions: {north: upland, south: coast}\n"
		n.start()
		n.report(3, false)
	}
	b.awaitReady()
	for range 10 {
		assert.Equal(t, 200, south.status(http.MethodGet, "/look/x", "a1"))
	}
	assert.Zero(t, south.upstream.ran("a1"))
	assert.Equal(t, 10, north.upstream.ran("a1"))
	assert.Equal(t, 503, south.status(http.MethodPost, "/write/x", "a2"))
	assert.Zero(t, north.upstream.ran("a2")+south.upstream.ran("a2"))
}
