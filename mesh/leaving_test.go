package mesh

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
	"eiderfold/settings"
)

// storeReadTime is how long a node may take to read the store once it can be reached: the longest pause
// between two attempts, and the call.
const storeReadTime = storeRetryMax + time.Second

// heldDialect holds requests between the gate's decision to start them and their write to the upstream.
type heldDialect struct {
	platform.Headers
	reached chan struct{} // Gets a value for each request that is held.
	release chan struct{} // Closed to let them go on.
}

func newHeldDialect() *heldDialect {
	return &heldDialect{reached: make(chan struct{}, 64), release: make(chan struct{})}
}

// SetOutgoing implements port.Dialect.
func (d *heldDialect) SetOutgoing(h http.Header, m port.OutgoingMetadata) {
	d.reached <- struct{}{}
	<-d.release
	d.Headers.SetOutgoing(h, m)
}

// deregister sends a final report without a body and returns the response's status.
func (n *testNode) deregister() int {
	n.cluster.t.Helper()
	url := fmt.Sprintf("http://%s/-/rpc?call=instances.deregister&of=%s", n.settings.Load().Reports(), n.upstream.identity())
	r, err := http.Post(url, "application/json", nil)
	require.NoError(n.cluster.t, err)
	require.NoError(n.cluster.t, r.Body.Close())
	return r.StatusCode
}

// startWithoutStore starts a node that the store refuses, which gets a report from before its upstream left.
func (n *testNode) startWithoutStore() {
	n.cluster.t.Helper()
	n.store.denied.Store(true)
	n.start()
	require.Equal(n.cluster.t, http.StatusOK, n.report(1, false))
}

// arrivedAfter returns the attempts that reached the upstream after a time.
func (u *testUpstream) arrivedAfter(at time.Time) []string {
	var late []string
	for _, a := range u.arrived() {
		if a.at.After(at) {
			late = append(late, a.attempt)
		}
	}
	return late
}

// A request that was started before its upstream left must not be written after the acknowledgement.
func TestRequestWrittenAfterLeavingIsAcknowledged(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/look/x", "/write/x"} {
		t.Run(path, func(t *testing.T) {
			b := newTestCluster(t)
			one := b.newNode("one", "births")
			dialect := newHeldDialect()
			one.dialect = dialect
			one.launch()
			b.add("two", "births")
			b.awaitReady()
			method := http.MethodGet
			if strings.HasPrefix(path, "/write") {
				method = http.MethodPost
			}
			var callers sync.WaitGroup
			for i := range 2 * defaultSlots {
				callers.Go(func() {
					r, _, err := one.ask(context.Background(), method, path, fmt.Sprintf("a%d", i))
					if assert.NoError(t, err) {
						assert.Equal(t, http.StatusOK, r.StatusCode)
					}
				})
			}
			<-dialect.reached
			require.Equal(t, http.StatusOK, one.report(2, true))
			acknowledged := time.Now()
			close(dialect.release)
			callers.Wait()
			assert.Empty(t, one.upstream.arrivedAfter(acknowledged))
			for i := range 2 * defaultSlots {
				attempt := fmt.Sprintf("a%d", i)
				assert.Equal(t, 1, one.upstream.ran(attempt)+b.nodes[1].upstream.ran(attempt), attempt)
			}
		})
	}
}

// A new process that confirmed its upstream without the store must close its gate once the store shows
// that an earlier process acknowledged the upstream's leaving.
func TestNewProcessIgnoresLeavingThatTheStoreShowsLater(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	two := b.add("two", "births")
	b.awaitReady()
	require.Equal(t, http.StatusOK, one.report(2, true))
	one.stopNode()
	two.stopNode()
	two.start() // It has the configuration, and has not heard of the leaving.
	one.startWithoutStore()
	require.Eventually(t, func() bool { return one.gateMode() == link.ModeOpen }, waitTimeout, time.Millisecond, "by the health answer")
	one.store.denied.Store(false)
	assert.Eventually(t, func() bool { return one.gateMode() == link.ModeClosed }, storeReadTime, time.Millisecond)
}

// A new process that can't read the store must learn from other nodes that its upstream has left.
func TestNewProcessIgnoresLeavingThatOtherNodesKnow(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	two := b.add("two", "births")
	b.awaitReady()
	require.Equal(t, http.StatusOK, one.report(2, true))
	one.stopNode()
	one.startWithoutStore()
	require.Eventually(t, func() bool {
		p := two.Dump().Peers
		return len(p) == 1 && p[0].Reachable && one.gate.Upstream().ID != ""
	}, waitTimeout, time.Millisecond)
	time.Sleep(3 * observeTime)
	assert.Equal(t, link.ModeClosed, one.gateMode())
}

// A deregistration without a start, acknowledged by a process that has no report of the upstream yet, must
// hold for the incarnation that a delayed report names with its start.
func TestDelayedReportOpensGateOfDeregisteredUpstream(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.newNode("one", "births")
	one.upstream.startedAt = time.Now().UnixMilli()
	one.launch()
	b.awaitReady()
	one.stopNode()
	one.start()
	require.Equal(t, http.StatusOK, one.deregister())
	require.Equal(t, http.StatusOK, one.report(2, false), "a delayed report from before it left")
	time.Sleep(3 * observeTime)
	assert.Equal(t, link.ModeClosed, one.gateMode())
	one.stopNode()
	one.start()
	require.Equal(t, http.StatusOK, one.report(2, false), "a delayed report from before it left")
	time.Sleep(3 * observeTime)
	assert.Equal(t, link.ModeClosed, one.gateMode(), "in a further process")
}

// A report that the upstream leaves must not be acknowledged without effect, whatever service or address
// it names.
func TestLeavingAcknowledgedWithoutEffect(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	for _, body := range []string{
		`{"service":"other","address":"` + one.upstream.address + `","slots":2,"state":"draining","zone":"d","version":"v1","coldLeftMs":0,"callSeq":5}`,
		`{"service":"births","address":"127.0.0.1:1","slots":2,"state":"draining","zone":"d","version":"v1","coldLeftMs":0,"callSeq":5}`,
	} {
		status, err := one.post(one.upstream.identity(), body)
		require.NoError(t, err)
		assert.False(t, status == http.StatusOK && one.gateMode() == link.ModeOpen, body)
	}
}

// After a reload that names another address, which needs a restart, reports of the upstream that the gate
// still sends to must keep their effect.
func TestLeavingIgnoredAfterReload(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	changed, err := settings.ParseMesh("test", []byte(strings.Replace(one.yaml, one.upstream.address, "127.0.0.1:1", 1)))
	require.NoError(t, err)
	one.Reload(changed)
	require.Equal(t, http.StatusOK, one.report(2, true))
	assert.Equal(t, link.ModeClosed, one.gateMode())
}
