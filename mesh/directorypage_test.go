package mesh

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/port"
)

// A page that the records of leaving upstreams fill must not hide further ones, nor the other nodes: the new process would
// send requests to an upstream that leaves, and take itself for the home of each account.
func TestFullPageHidesLeavingUpstreamsAndNodes(t *testing.T) {
	t.Parallel()
	const leaving, others = 7, 4
	b := newTestCluster(t)
	n := b.newNode("restarted", "births")
	n.store.pageEntries = 2
	n.launch()
	b.awaitReady()
	for i := range leaving {
		require.NoError(t, n.directory.putLeaving(t.Context(), port.Incarnation{ID: fmt.Sprintf("i-%d", i), StartedAt: 1}))
	}
	n.stopNode()
	for i := range others {
		m := link.Member{Name: fmt.Sprintf("other%d", i), Address: fmt.Sprintf("127.9.9.%d:1", i+1), DataCentre: "here", Service: "births"} // Nobody is there.
		value, err := json.Marshal(link.Record{Member: m, Version: 1})
		require.NoError(t, err)
		require.NoError(t, b.store.Put(t.Context(), nodeKey(m.Address), value))
	}
	n.start()
	require.Eventually(t, n.directory.discovered.Load, waitTimeout, loadPoll)
	assert.Equal(t, others+1, n.links.fleetSize())
	for i := range leaving {
		assert.True(t, n.directory.isLeaving(port.Incarnation{ID: fmt.Sprintf("i-%d", i), StartedAt: 1}), i)
	}
}
