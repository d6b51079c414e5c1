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
)

const (
	// limitSettles is how long after an upstream first named a limit it may get more.
	limitSettles = 3 * time.Second
	// limitWindow is the window over which requests to a limited upstream are counted.
	limitWindow = 4 * time.Second
	// In limitWindow a limited upstream may get limitFactor times what its limit allows, and
	// limitExcess requests.
	limitFactor = 1.5
	limitExcess = 5
	// passedOnAge is how long ago a node must have passed on a statement for its requests to count.
	passedOnAge = 500 * time.Millisecond
	// callersPerNode is the number of concurrent callers of each node.
	callersPerNode = 8
	// callerPause is a caller's pause between two requests.
	callerPause = 10 * time.Millisecond
	// An upstream with manySlots slots and requests that take slowWork can have many of them before
	// its first answer.
	manySlots = 12
	slowWork  = 300 * time.Millisecond
)

// testLoad sends requests to all nodes of a cluster and records which nodes have passed on an
// upstream's statement.
type testLoad struct {
	cluster  *testCluster
	method   string
	path     string
	stop     context.CancelFunc
	callers  sync.WaitGroup
	mu       sync.Mutex
	sent     map[string]time.Time // By attempt.
	passedOn map[string]time.Time // When a node first passed on a statement, by node and upstream.
	served   int
	refused  []string // Retry-After of the refusals.
}

// startLoad starts callers of all nodes.
func (b *testCluster) startLoad(method, path string) *testLoad {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &testLoad{cluster: b, method: method, path: path, stop: cancel, sent: map[string]time.Time{}, passedOn: map[string]time.Time{}}
	for _, n := range b.nodes {
		for c := range callersPerNode {
			l.callers.Go(func() { l.call(ctx, n, c) })
		}
	}
	b.t.Cleanup(l.end)
	return l
}

// end stops the callers.
func (l *testLoad) end() {
	l.stop()
	l.callers.Wait()
}

// call sends requests to a node until ctx ends.
func (l *testLoad) call(ctx context.Context, n *testNode, caller int) {
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("%s/%d/%d", n.self.Name, caller, i)
		l.mu.Lock()
		l.sent[attempt] = time.Now()
		l.mu.Unlock()
		response, body, err := n.ask(ctx, l.method, l.path, attempt)
		if err == nil {
			l.record(n, response, body)
		}
		time.Sleep(callerPause)
	}
}

// record records a node's response.
func (l *testLoad) record(n *testNode, response *http.Response, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if response.StatusCode != http.StatusOK {
		l.refused = append(l.refused, response.Header.Get("Retry-After"))
		return
	}
	l.served++
	if response.Header.Get("Server-Limit") == "" && response.Header.Get("Server-Leaving") == "" {
		return
	}
	_, rest, _ := strings.Cut(body, " by ")
	upstream, _, _ := strings.Cut(rest, ":")
	key := n.self.Name + " " + upstream
	if l.passedOn[key].IsZero() {
		l.passedOn[key] = time.Now()
	}
}

// forget excuses a node that was restarted: what it has passed on is not known to it any more.
func (l *testLoad) forget(n *testNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.passedOn {
		if strings.HasPrefix(key, n.self.Name+" ") {
			delete(l.passedOn, key)
		}
	}
}

// counted returns the arrivals at an upstream from nodes that had passed on a statement of it.
func (l *testLoad) counted(u *testUpstream) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []arrival
	for _, a := range u.arrived() {
		node, _, _ := strings.Cut(a.attempt, "/")
		passedOn := l.passedOn[node+" "+u.identity()]
		if !passedOn.IsZero() && a.at.Sub(passedOn) >= passedOnAge {
			out = append(out, a)
		}
	}
	return out
}

// mostInWindow returns the largest number of arrivals in any limitWindow that starts at or after
// from.
func mostInWindow(arrivals []arrival, from time.Time) int {
	most := 0
	for i, first := range arrivals {
		if first.at.Before(from) {
			continue
		}
		count := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) <= limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// allowedBy returns how many requests a limit allows in limitWindow.
func allowedBy(rate float64) int {
	return int(limitFactor*rate*limitWindow.Seconds()) + limitExcess
}

// withLookupsAndOrders runs a test with requests that may be repeated, and with others.
func withLookupsAndOrders(t *testing.T, test func(t *testing.T, method, path string)) {
	for _, route := range []struct{ method, path string }{{http.MethodGet, "/look/x"}, {http.MethodPost, "/write/x"}} {
		t.Run(route.method, func(t *testing.T) {
			t.Parallel()
			test(t, route.method, route.path)
		})
	}
}

// An upstream that names a limit must not get more requests than that allows, from all nodes
// together, whether the requests may be repeated or not.
func TestUpstreamGetsNoMoreThanTheLimitItNames(t *testing.T) {
	t.Parallel()
	withLookupsAndOrders(t, func(t *testing.T, method, path string) {
		b := newTestCluster(t)
		b.addBirths(4)
		b.awaitReady()
		l := b.startLoad(method, path)
		limited := b.nodes[0].upstream
		limited.setStatements("2.5", false)
		named := time.Now()
		time.Sleep(limitSettles + limitWindow + limitWindow/2)
		l.end()
		assert.LessOrEqual(t, mostInWindow(l.counted(limited), named.Add(limitSettles)), allowedBy(2.5))
		assert.Positive(t, l.served)
	})
}

// When all upstreams of a service name limits, none may get more, and each refused caller must be
// told when to come back.
func TestAllUpstreamsLimited(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.addBirths(4)
	b.awaitReady()
	l := b.startLoad(http.MethodGet, "/look/x")
	for _, n := range b.nodes {
		n.upstream.setStatements("3", false)
	}
	named := time.Now()
	time.Sleep(limitSettles + limitWindow + limitWindow/2)
	l.end()
	sum := 0
	for _, n := range b.nodes {
		most := mostInWindow(l.counted(n.upstream), named.Add(limitSettles))
		assert.LessOrEqual(t, most, allowedBy(3), n.self.Name)
		sum += most
	}
	t.Logf("%d requests in %v, allowed %d without any excess", sum, limitWindow, int(4*3*limitWindow.Seconds()))
	assert.NotEmpty(t, l.refused)
	assert.NotContains(t, l.refused, "")
}

// The process beside a limited upstream is replaced twice under load. Neither the limit nor what
// was used of it may be lost with it.
func TestNamedLimitSurvivesRestartOfItsNode(t *testing.T) {
	t.Parallel()
	withLookupsAndOrders(t, func(t *testing.T, method, path string) {
		b := newTestCluster(t)
		b.addBirths(4)
		one := b.nodes[0]
		for _, n := range b.nodes {
			n.upstream.slots = manySlots
			n.upstream.setWork(func(*http.Request) { time.Sleep(slowWork) })
			n.report(2, false)
		}
		b.awaitReady()
		l := b.startLoad(method, path)
		one.upstream.setStatements("1", false)
		named := time.Now()
		time.Sleep(limitSettles)
		for range 2 {
			one.stopNode()
			l.forget(one)
			one.start()
			one.report(3, false)
			time.Sleep(limitWindow / 2)
		}
		l.end()
		assert.LessOrEqual(t, mostInWindow(l.counted(one.upstream), named.Add(limitSettles)), allowedBy(1))
	})
}

// An upstream whose answers say that it leaves must get no new requests, although its reports do
// not say so.
func TestUpstreamThatLeavesByItsAnswersGetsNoRequests(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.addBirths(3)
	b.awaitReady()
	l := b.startLoad(http.MethodGet, "/look/x")
	leaving := b.nodes[0].upstream
	leaving.setStatements("", true)
	const drain = 2 * time.Second
	var from time.Time
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for key, at := range l.passedOn {
			if strings.HasSuffix(key, " "+leaving.identity()) {
				from = at
			}
		}
		return !from.IsZero()
	}, waitTimeout, time.Millisecond)
	time.Sleep(drain + time.Second)
	l.end()
	late := 0
	for _, a := range leaving.arrived() {
		if a.at.Sub(from) > drain {
			late++
		}
	}
	assert.Zero(t, late, "requests later than the drain time")
}

// The process beside an upstream that leaves by its answers is replaced, and reports still say that
// the upstream is ready: the gate must stay closed, whether the store can be read or not.
func TestLeavingByAnswerSurvivesRestart(t *testing.T) {
	t.Parallel()
	for _, out := range []bool{false, true} {
		t.Run(fmt.Sprintf("store out %v", out), func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			b.addBirths(2)
			b.awaitReady()
			one := b.nodes[0]
			one.store.denied.Store(out)
			one.upstream.setStatements("", true)
			for i := 0; one.gateMode() != link.ModeClosed; i++ {
				require.Less(t, i, 1000)
				require.Equal(t, 200, one.status(http.MethodGet, "/look/x", fmt.Sprint("a", i)))
			}
			if !out {
				require.Eventually(t, func() bool { return one.directory.isLeaving(one.gate.Upstream()) }, waitTimeout, time.Millisecond)
			}
			one.stopNode()
			one.start()
			require.Equal(t, 200, one.report(2, false))
			time.Sleep(3 * observeTime)
			assert.Equal(t, link.ModeClosed, one.gateMode())
			before := len(one.upstream.arrived())
			for i := range 50 {
				assert.Equal(t, 200, b.nodes[1].status(http.MethodPost, "/write/x", fmt.Sprint("b", i)))
			}
			assert.Len(t, one.upstream.arrived(), before)
		})
	}
}
