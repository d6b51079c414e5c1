package mesh

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/memory"
	"eiderfold/port"
)

// Sends a request to a node of another service than the one that serves it.
func TestServes(t *testing.T) {
	t.Parallel()
	_, one, other := newPair(t)
	r, body, err := other.ask(context.Background(), http.MethodPost, "/write/%2Fx?q=1", "a1")
	require.NoError(t, err)
	assert.Equal(t, 200, r.StatusCode)
	assert.Equal(t, "/write/%2Fx?q=1 by i-one: text", body)
	assert.Equal(t, "stamp-of-i-one", r.Header.Get("Response-Stamp"))
	assert.Equal(t, 1, one.upstream.ran("a1"))
	assert.Equal(t, "marriages", one.upstream.callers["a1"])
	assert.Equal(t, 404, other.status(http.MethodGet, "/none/", "a2"))
}

// A node without a configuration must answer 503 with a Retry-After.
func TestNoConfigurationIs503(t *testing.T) {
	b := newTestCluster(t)
	b.store.SetFaults(memory.Faults{Outage: true})
	one := b.add("one", "births")
	r, _, err := one.ask(context.Background(), http.MethodGet, "/look/x", "a1")
	require.NoError(t, err)
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
}

// Restarts a node after it acknowledged that its upstream leaves: a late report of
// readiness must not open the gate, whether the store can be read or not.
func TestLeavingSurvivesRestart(t *testing.T) {
	t.Parallel()
	for _, out := range []bool{false, true} {
		t.Run(fmt.Sprintf("store out %v", out), func(t *testing.T) {
			b := newTestCluster(t)
			one := b.add("one", "births")
			b.awaitReady()
			require.Equal(t, 200, one.report(2, true))
			assert.Equal(t, link.ModeClosed, one.gateMode())
			one.upstream.healthy.Store(false)
			one.stopNode()
			one.store.denied.Store(out)
			one.start()
			require.Equal(t, 200, one.report(1, false))
			time.Sleep(3 * observeTime)
			assert.Equal(t, link.ModeClosed, one.gateMode())
			assert.NotEqual(t, 200, one.status(http.MethodGet, "/look/x", "a1"))
		})
	}
}

// observeTime is long enough for a wrong decision to show.
const observeTime = 100 * time.Millisecond

// While the store is down, a report that an upstream leaves must not be acknowledged, but
// must close the gate.
func TestLeavingIsAcknowledgedOnceRecorded(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	b.store.SetFaults(memory.Faults{Outage: true})
	assert.Equal(t, 503, one.report(2, true))
	assert.Equal(t, link.ModeClosed, one.gateMode())
	b.store.SetFaults(memory.Faults{})
	assert.Equal(t, 200, one.report(3, true))
	_, _, err := b.store.Get(context.Background(), one.directory.leavingKey(keySegment(port.Incarnation{ID: "i-one"})))
	assert.NoError(t, err)
}

// Restarts a node that the store refuses: the other nodes must redial it and send it the
// configuration.
func TestRestartWithoutStore(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.add("two", "births")
	b.awaitReady()
	one.stopNode()
	one.store.denied.Store(true)
	one.start()
	one.report(2, false)
	b.awaitReady()
	assert.Equal(t, 200, one.status(http.MethodGet, "/look/x", "a1"))
}

// A new process that knows none or few of the other gates must not take a part of the slack that is divided among
// these alone.
func TestNewProcessTakesTheSlackOfAllGates(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	first := b.add("n0", "births")
	for i := range 3 {
		b.add(fmt.Sprintf("n%d", i+1), "births")
	}
	gates := func() int { return first.Dump().Gate.Budget.Gates }
	assert.Eventually(t, func() bool { return gates() == 4 }, waitTimeout, 10*time.Millisecond)
	first.stopNode()
	first.store.denied.Store(true)
	first.start()
	known := gates()
	for until := time.Now().Add(waitTimeout); known != 4 && time.Now().Before(until); known = gates() {
		require.Zero(t, known)
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, 4, known)
}

// Removes a node's record, as others do with an unreachable node: the next check must write
// it again.
func TestRemovedRecordIsRewritten(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	one.directory.removeRecord(one.self)
	entries, _, err := b.store.Range(context.Background(), nodesPrefix)
	require.NoError(t, err)
	require.Empty(t, entries)
	require.NoError(t, one.directory.check(context.Background()))
	entries, _, err = b.store.Range(context.Background(), nodesPrefix)
	require.NoError(t, err)
	require.Len(t, entries, 1)
}

// Breaks the link under a running non-retryable request: its response must arrive over the
// next link, and it must run once.
func TestRequestSurvivesBrokenLink(t *testing.T) {
	t.Parallel()
	b, one, other := newPair(t)
	status, release := other.blockedWriteAt(one)
	defer release()
	other.cutLinks()
	b.awaitReady()
	release()
	assert.Equal(t, 200, <-status)
	assert.Equal(t, 1, one.upstream.ran("a1"))
}

// A response completed while the link is broken must be kept and delivered over the next
// link.
func TestResponseKeptWhileLinkIsBroken(t *testing.T) {
	t.Parallel()
	_, one, other := newPair(t)
	status, release := other.blockedWriteAt(one)
	defer release()
	one.cutLinks()
	release()
	assert.Equal(t, 200, <-status)
	assert.Equal(t, 1, one.upstream.ran("a1"))
}

// Restarts the gate's process under a non-retryable request: the outcome is unknown, and
// the caller must get an error at once, not at the deadline.
func TestGateRestartGivesUnknownOutcome(t *testing.T) {
	t.Parallel()
	_, one, other := newPair(t)
	status, release := other.blockedWriteAt(one)
	defer release()
	one.stopNode() // Its grace period is shorter than the work.
	one.start()
	assert.Equal(t, 502, <-status)
	assert.Equal(t, 1, one.upstream.ran("a1"))
}

// Starts a node of another service at the links address of a stopped one: requests must not
// reach it under the old service.
func TestAnotherServiceAtTheAddress(t *testing.T) {
	t.Parallel()
	b, one, other := newPair(t)
	one.stopNode()
	settings := one.yaml
	one = b.add("new", "marriages")
	one.stopNode()
	one.yaml = withLinksOf(one.yaml, settings)
	one.start()
	one.report(2, false)
	require.Eventually(t, func() bool {
		for _, endpoint := range other.endpoints.Of("marriages") {
			if endpoint.Member().Name == "new" && endpoint.Status().Mode == link.ModeOpen && endpoint.Reachable() {
				return true
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond)
	assert.Equal(t, 503, other.status(http.MethodGet, "/look/x", "a1"))
	assert.Zero(t, one.upstream.ran("a1"))
}

// When a caller closes its connection, the upstream's work on a retryable request must be
// cancelled.
func TestCallerCloseCancelsWork(t *testing.T) {
	t.Parallel()
	_, one, other := newPair(t)
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	one.upstream.setWork(func(r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, _, err := other.ask(ctx, http.MethodGet, "/look/x", "a1")
	require.Error(t, err)
	<-ended
}

// Malformed reports must be refused with 400.
func TestMalformedReport(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	for _, query := range []string{"", "?call=instances.heartbeat", "?call=other&of=i-1", "?call=instances.heartbeat&of=i-1"} {
		r, err := http.Post("http://"+one.settings.Load().Reports()+"/-/rpc"+query, "application/json", nil)
		require.NoError(t, err)
		_ = r.Body.Close()
		assert.Equal(t, 400, r.StatusCode, query)
	}
}

// Guards against starts that cost many calls to the store. Twelve nodes start one after the
// other, one of which watches the store. Each writes its record and reads one page, twice
// while it finds too few contacts; the configuration comes from its peers. A restart reads
// one page.
func TestStartNeedsFewCalls(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.watchers = 1
	for i := range 12 {
		b.add(fmt.Sprintf("n%d", i), "births")
		b.awaitReady()
	}
	watching := 0
	for i, n := range b.nodes {
		calls := n.store.calls.Load()
		if n.links.amongFirst(1) {
			watching++
			continue
		}
		assert.LessOrEqual(t, calls, int64(5), "at most a read of the configuration and of the quarantine in addition, if it watched for a while")
		if i > minContacts {
			assert.LessOrEqual(t, calls, int64(3))
		}
	}
	assert.Equal(t, 1, watching)
	last := b.nodes[len(b.nodes)-1]
	last.stopNode()
	last.store.calls.Store(0)
	last.start()
	last.report(1000, false)
	b.awaitReady()
	if !last.links.amongFirst(1) {
		assert.LessOrEqual(t, last.store.calls.Load(), int64(2))
	}
}

// A stopping node must leave its record in the store, unless its upstream has terminated
// for good.
func TestRecordRemovedWithInstance(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	one.stopNode()
	entries, _, err := b.store.Range(context.Background(), nodesPrefix)
	require.NoError(t, err)
	assert.Len(t, entries, 1, "the node is only restarted")
	one.directory.upstreamGone.Store(true)
	one.directory.removeSelf(context.Background())
	entries, _, err = b.store.Range(context.Background(), nodesPrefix)
	require.NoError(t, err)
	assert.Empty(t, entries, "its upstream has terminated: the instance goes away")
}

// A record of a leaving upstream must be kept for leavingRetention, and longer while the
// upstream is the current one. Reads in quick succession, as after failed calls, must
// remove nothing: a restarted node does not know the current upstream yet.
func TestOldLeavingRecordsAreRemoved(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.add("one", "births")
	b.awaitReady()
	ctx := context.Background()
	d := one.directory
	require.NoError(t, d.recordLeavingReport(ctx, port.Incarnation{ID: "i-old/1"}))
	require.NoError(t, d.recordLeavingReport(ctx, port.Incarnation{ID: "i-one"}))
	records := func() []port.Entry {
		require.NoError(t, d.check(ctx))
		entries, _, err := b.store.Range(ctx, d.leavingPrefix())
		require.NoError(t, err)
		return entries
	}
	for range 3 {
		assert.Len(t, records(), 2)
	}
	for part := range d.firstRead {
		d.firstRead[part] = time.Now().Add(-leavingRetention)
	}
	entries := records()
	require.Len(t, entries, 1)
	assert.Equal(t, d.leavingKey(keySegment(port.Incarnation{ID: "i-one"})), entries[0].Key, "it is still the current upstream")
	left, err := d.Leaving(ctx, port.Incarnation{ID: "i-old/1"})
	require.NoError(t, err)
	assert.True(t, left, "this process still has it marked")
}
