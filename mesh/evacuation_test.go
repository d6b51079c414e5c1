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
func (b *bed) addAt(name, dataCentre string) *testNode {
	b.t.Helper()
	n := b.add(name, "births")
	n.stopNode()
	n.yaml = strings.Replace(n.yaml, "data_centre: here", "data_centre: "+dataCentre, 1)
	n.start()
	n.report(2, false)
	return n
}

// evacuate asks that nothing goes to a data centre.
func (b *bed) evacuate(dataCentre string) {
	b.t.Helper()
	require.NoError(b.t, b.store.Put(context.Background(), platform.EvacuationPrefix+dataCentre, []byte("{}")))
}

// endEvacuation takes that back.
func (b *bed) endEvacuation(dataCentre string) {
	b.t.Helper()
	require.NoError(b.t, b.store.Remove(context.Background(), platform.EvacuationPrefix+dataCentre))
}

// awaitMode waits until a node's gate takes work so.
func (n *testNode) awaitMode(mode link.Mode) {
	n.bed.t.Helper()
	require.Eventually(n.bed.t, func() bool { return n.gateMode() == mode }, patient, time.Millisecond)
}

// An operator empties a data centre of which its upstreams are to get nothing any more. No
// node read that key: on a day with an evacuation 2,276 requests reached upstreams that
// should have been idle. Here the gate in the data centre closes, callers there are served
// elsewhere, and all is as before once the key is gone.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	north := b.addAt("north", "north")
	south := b.addAt("south", "south")
	b.meet()
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

// A node hears of an evacuation from its peers while the store turns it away, also if it is
// restarted meanwhile; one that only reads from time to time finds it there.
func TestEvacuationPassesBetweenNodes(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	north := b.addAt("north", "north")
	south := b.addAt("south", "south")
	b.meet()
	north.store.denied.Store(true)
	b.evacuate("north")
	north.awaitMode(link.ModeClosed)
	north.stopNode()
	north.start()
	north.report(3, false)
	require.Eventually(t, func() bool { return north.ready() }, patient, time.Millisecond)
	assert.Equal(t, 200, north.status(http.MethodPost, "/write/x", "a1"))
	assert.Zero(t, north.upstream.ran("a1"))
	south.store.denied.Store(true)
	north.store.denied.Store(false)
	b.endEvacuation("north")
	north.awaitMode(link.ModeOpen)
	require.Eventually(t, func() bool { return len(south.Dump().Evacuated) == 0 }, patient, time.Millisecond)
}

// All of a service is in the data centre: what cannot be served is told so at once, with
// when to come back, rather than kept until it is of no use.
func TestEvacuationOfAllRefusesAtOnce(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	b.meet()
	b.evacuate("here")
	one.awaitMode(link.ModeClosed)
	r, _, err := one.ask(context.Background(), http.MethodGet, "/look/x", "a1")
	require.NoError(t, err)
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
}

// The store comes back from a copy that is older than the evacuation. Its revisions go back,
// so what it says now looks older than what is known, and the key is gone until operators
// write it again. The data centre gets nothing all the while; and a change made after the
// store is back counts, though its revision was given out before.
func TestEvacuationOutlivesARestoredStore(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	north := b.addAt("north", "north")
	b.addAt("south", "south")
	b.meet()
	copied := b.store.Copy()
	b.evacuate("north")
	b.configure(4)
	b.awaitVersion(4)
	north.awaitMode(link.ModeClosed)
	b.store.Restore(copied)
	require.Eventually(t, func() bool { return north.evacuation.known().at.Era == 1 }, patient, time.Millisecond)
	assert.Equal(t, link.ModeClosed, north.gateMode())
	b.evacuate("north")
	b.configure(5, "/five/")
	b.awaitVersion(5)
	time.Sleep(rewriteTime + tickForTests)
	assert.Equal(t, link.ModeClosed, north.gateMode())
	b.endEvacuation("north")
	north.awaitMode(link.ModeOpen)
}

// A route that may be served in some regions only is sent nowhere else, by lookups and
// orders alike, also where that leaves nobody.
func TestRequestsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	b := &bed{t: t, store: memory.NewDirectory()}
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
	b.meet()
	for range 10 {
		assert.Equal(t, 200, south.status(http.MethodGet, "/look/x", "a1"))
	}
	assert.Zero(t, south.upstream.ran("a1"))
	assert.Equal(t, 10, north.upstream.ran("a1"))
	assert.Equal(t, 503, south.status(http.MethodPost, "/write/x", "a2"))
	assert.Zero(t, north.upstream.ran("a2")+south.upstream.ran("a2"))
}
