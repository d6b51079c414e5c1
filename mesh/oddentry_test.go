package mesh

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// nested returns JSON lists nested so deep.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// Entries that another writer left among those of the nodes must neither end nodes nor keep them from following the
// others, and must not change what is known of a node.
func TestOddEntriesEndNodesOrTheirList(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.newNode("one", "births")
	put := func(key, value string) {
		require.NoError(t, b.store.Put(context.Background(), key, []byte(value)))
	}
	links := regexp.MustCompile(`links: "([^"]+)"`).FindStringSubmatch(one.yaml)[1]
	put(nodeKey(links), fmt.Sprintf(`{"name":"other","address":%q,"data_centre":"there","service":"marriages","version":18446744073709551615}`, links))
	for i, odd := range []string{
		nested(100_000), `{"name":` + nested(20_000) + `}`, `{"version":1e400}`, `{"version":36893488147419103232}`, "\xff\x00", "", "null", "[]",
		`{"name":"n","address":"127.0.0.1:70000","data_centre":"here","service":"births","version":1}`,
	} {
		put(fmt.Sprintf("%s%016x/odd%d", nodesPrefix, i, i), odd)
		put(fmt.Sprintf("%s%016x/127.0.0.1:%d", quarantinePrefix, i, i), odd)
	}
	put(nodeKey("127.0.0.1:70000"), `{"name":"n","address":"127.0.0.1:70000","data_centre":"here","service":"births","version":1}`)
	one.launch()
	two := b.add("two", "births")
	b.awaitReady()
	require.Eventually(t, func() bool { return one.links.fleetSize() == 2 && two.links.fleetSize() == 2 }, waitTimeout, 10*time.Millisecond)
	assert.Equal(t, "one", one.links.self().Name)
	assert.Positive(t, one.links.self().Version)
	assert.Equal(t, 200, one.status(http.MethodGet, "/look/x", "a1"))
	assert.Equal(t, 200, two.status(http.MethodGet, "/look/x", "a2"))
	two.links.mu.Lock()
	m, known := two.links.view.Member(links)
	two.links.mu.Unlock()
	assert.True(t, known)
	assert.Equal(t, "births", m.Service)
	puts := one.store.puts.Load()
	time.Sleep(time.Second)
	assert.Equal(t, puts, one.store.puts.Load(), "the record is written again and again")
}
