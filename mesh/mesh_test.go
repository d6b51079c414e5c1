package mesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/memory"
)

func (n *testNode) gateMode() link.Mode { return n.gate.Status().Mode }

// TestServes sends a request through a node beside another service.
func TestServes(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
	r, body, err := other.ask(context.Background(), http.MethodPost, "/write/%2Fx?q=1", "a1")
	require.NoError(t, err)
	assert.Equal(t, 200, r.StatusCode)
	assert.Equal(t, "/write/%2Fx?q=1 by i-one: text", body)
	assert.Equal(t, "stamp-of-i-one", r.Header.Get("Response-Stamp"))
	assert.Equal(t, 1, one.upstream.ran("a1"))
	assert.Equal(t, "marriages", one.upstream.callers["a1"])
	assert.Equal(t, 404, other.status(http.MethodGet, "/none/", "a2"))
}

// TestNoConfigurationIs503 asks a node that has not seen a configuration yet.
func TestNoConfigurationIs503(t *testing.T) {
	b := newBed(t)
	b.store.SetFaults(memory.Faults{Out: true})
	one := b.add("one", "births")
	r, _, err := one.ask(context.Background(), http.MethodGet, "/look/x", "a1")
	require.NoError(t, err)
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
}

// TestLeavingOutlivesTheProcess restarts a node after it acknowledged that its
// upstream leaves: a late report of readiness opens nothing, whether the store
// can be read or not.
func TestLeavingOutlivesTheProcess(t *testing.T) {
	t.Parallel()
	for _, out := range []bool{false, true} {
		t.Run(fmt.Sprintf("store out %v", out), func(t *testing.T) {
			b := newBed(t)
			one := b.add("one", "births")
			b.meet()
			require.Equal(t, 200, one.report(2, true))
			assert.Equal(t, link.ModeClosed, one.gateMode())
			one.upstream.healthy.Store(false)
			one.stopNode()
			one.store.denied.Store(out)
			one.start()
			require.Equal(t, 200, one.report(1, false))
			time.Sleep(3 * tickForTests)
			assert.Equal(t, link.ModeClosed, one.gateMode())
			assert.NotEqual(t, 200, one.status(http.MethodGet, "/look/x", "a1"))
		})
	}
}

// tickForTests is some time in which a wrong decision would show.
const tickForTests = 100 * time.Millisecond

// TestLeavingIsAcknowledgedOnceRecorded keeps the acknowledgement back while the
// store is out, and closes the gate all the same.
func TestLeavingIsAcknowledgedOnceRecorded(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	b.meet()
	b.store.SetFaults(memory.Faults{Out: true})
	assert.Equal(t, 503, one.report(2, true))
	assert.Equal(t, link.ModeClosed, one.gateMode())
	b.store.SetFaults(memory.Faults{})
	assert.Equal(t, 200, one.report(3, true))
	_, _, err := b.store.Get(context.Background(), leavingKey("i-one"))
	assert.NoError(t, err)
}

// TestRestartWithoutStore restarts a node that the store turns away: the nodes
// that knew it find it and give it the configuration.
func TestRestartWithoutStore(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	b.add("two", "births")
	b.meet()
	one.stopNode()
	one.store.denied.Store(true)
	one.start()
	one.report(2, false)
	b.meet()
	assert.Equal(t, 200, one.status(http.MethodGet, "/look/x", "a1"))
}

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
	for i := range 4 {
		b.add(fmt.Sprintf("n%d", i), "births")
	}
	b.meet()
	inForce := func(version uint64) func() bool {
		return func() bool { return b.allHave(version) }
	}
	for _, n := range b.nodes[1:] {
		n.store.denied.Store(true)
	}
	b.configure(5, "/five/")
	require.Eventually(t, inForce(5), patient, 5*time.Millisecond)
	b.nodes[0].store.denied.Store(true)
	b.nodes[1].store.denied.Store(false)
	b.store.SetFaults(memory.Faults{Deaf: true})
	b.configure(7, "/seven/")
	require.Eventually(t, inForce(7), patient, 5*time.Millisecond)
	b.store.SetFaults(memory.Faults{})
	b.store.Compact()
	b.configure(8)
	require.Eventually(t, inForce(8), patient, 5*time.Millisecond)
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
	require.Eventually(t, func() bool { return b.allHave(9) }, patient, 5*time.Millisecond)
}

// TestFewNodesWatch leaves the watch to one node: the others hear of a change from
// it, and another one takes over when it is gone.
func TestFewNodesWatch(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	for i := range 4 {
		b.add(fmt.Sprintf("n%d", i), "births")
	}
	for _, n := range b.nodes {
		n.config.mu.Lock()
		n.config.watchers = 1
		n.config.mu.Unlock()
	}
	b.meet()
	b.configure(5, "/five/")
	require.Eventually(t, func() bool { return b.allHave(5) }, patient, 5*time.Millisecond)
	for i, n := range b.nodes {
		if n.links.among(1) {
			n.stopNode()
			b.nodes = append(b.nodes[:i], b.nodes[i+1:]...)
			break
		}
	}
	b.configure(6)
	require.Eventually(t, func() bool { return b.allHave(6) }, patient, 5*time.Millisecond)
}

// TestLooksBackAtLowPrice reads the key as it is where a node has no configuration
// or watches, and as it was lately where its peers tell it of changes.
func TestLooksBackAtLowPrice(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	for i := range 2 {
		b.add(fmt.Sprintf("n%d", i), "births")
	}
	b.meet()
	require.Eventually(t, func() bool { return b.allHave(3) }, patient, 5*time.Millisecond)
	require.Zero(t, b.store.Peeks(), "everybody watches or has no configuration")
	for _, n := range b.nodes {
		n.config.mu.Lock()
		n.config.watchers = 1
		n.config.mu.Unlock()
		before := b.store.Peeks()
		_, _, err := n.config.read(t.Context())
		require.NoError(t, err)
		peeked := b.store.Peeks() > before
		assert.NotEqual(t, n.links.among(1), peeked, n.self.Name)
	}
}

// allHave tells whether a version is in force on every node.
func (b *bed) allHave(version uint64) bool {
	for _, n := range b.nodes {
		if v, _ := n.config.current(); v != version {
			return false
		}
	}
	return true
}

// TestRecordComesBack takes all leases away: every node registers anew.
func TestRecordComesBack(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	b.meet()
	b.store.Revoke()
	entries, err := b.store.Range(context.Background(), nodesPrefix)
	require.NoError(t, err)
	require.Empty(t, entries)
	one.directory.check()
	require.Eventually(t, func() bool {
		entries, err = b.store.Range(context.Background(), nodesPrefix)
		return err == nil && len(entries) == 1
	}, patient, 5*time.Millisecond)
}

// hold makes an upstream's work wait until the returned function is called.
func (u *testUpstream) hold() (started chan struct{}, goOn func()) {
	started, wait := make(chan struct{}, 16), make(chan struct{})
	u.setWork(func(*http.Request) {
		started <- struct{}{}
		<-wait
	})
	return started, sync.OnceFunc(func() { close(wait) })
}

// TestBrokenLinkIsAskedFor breaks the link under an order that runs: its answer
// comes over the next link, and it runs once.
func TestBrokenLinkIsAskedFor(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
	started, goOn := one.upstream.hold()
	defer goOn()
	status := make(chan int, 1)
	go func() { status <- other.status(http.MethodPost, "/write/x", "a1") }()
	<-started
	other.cutLinks()
	b.meet()
	goOn()
	assert.Equal(t, 200, <-status)
	assert.Equal(t, 1, one.upstream.ran("a1"))
}

// TestAnswerThatEndedUnderTheCut is kept and handed over when the link is back.
func TestAnswerThatEndedUnderTheCut(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
	started, goOn := one.upstream.hold()
	defer goOn()
	status := make(chan int, 1)
	go func() { status <- other.status(http.MethodPost, "/write/x", "a1") }()
	<-started
	one.cutLinks()
	goOn()
	assert.Equal(t, 200, <-status)
	assert.Equal(t, 1, one.upstream.ran("a1"))
}

// TestRestartedGateIsUnknown restarts the gate's process under an order: nobody
// knows whether it ran, and the caller is told so at once, not at the deadline.
func TestRestartedGateIsUnknown(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
	started, goOn := one.upstream.hold()
	defer goOn()
	status := make(chan int, 1)
	go func() { status <- other.status(http.MethodPost, "/write/x", "a1") }()
	<-started
	one.stopNode() // Its grace ends before the work does.
	one.start()
	assert.Equal(t, 502, <-status)
	assert.Equal(t, 1, one.upstream.ran("a1"))
}

// TestStopCutsNothing stops the ingress of one request and the gate of another.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
	started, goOn := one.upstream.hold()
	defer goOn()
	status := make(chan int, 2)
	go func() { status <- other.status(http.MethodPost, "/write/x", "a1") }()
	go func() { status <- one.status(http.MethodPost, "/write/x", "a2") }()
	<-started
	<-started
	other.cancel()
	one.cancel()
	require.Eventually(t, func() bool { return !one.ready() && !other.ready() }, patient, time.Millisecond)
	goOn()
	assert.Equal(t, 200, <-status)
	assert.Equal(t, 200, <-status)
	<-one.done
	<-other.done
}

// TestStopAnswersWhatItCannotFinish stops the ingress of an order that its upstream
// still works on when the grace time is over: the caller gets an answer, and not
// the end of its connection. Seed 58 of the soak found the latter.
func TestStopAnswersWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
	started, goOn := one.upstream.hold()
	defer goOn()
	status := make(chan int, 1)
	go func() {
		r, _, err := other.ask(context.Background(), http.MethodPost, "/write/x", "a1")
		if err != nil {
			status <- 0
			return
		}
		status <- r.StatusCode
	}()
	<-started
	other.stopNode()
	assert.Zero(t, other.server.CloseIdle(), "connections left when the process would end")
	assert.Equal(t, 502, <-status)
}

// TestAnotherServiceAtTheAddress starts a node beside another service at the
// links' address of one that is gone.
func TestAnotherServiceAtTheAddress(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
	one.stopNode()
	settings := one.yaml
	one = b.add("new", "marriages")
	one.stopNode()
	one.yaml = withLinksOf(one.yaml, settings)
	one.start()
	one.report(2, false)
	require.Eventually(t, func() bool {
		for _, target := range other.targets.Of("marriages") {
			if target.Member().Name == "new" && target.Status().Mode == link.ModeOpen && target.Reachable() {
				return true
			}
		}
		return false
	}, patient, 5*time.Millisecond)
	assert.Equal(t, 503, other.status(http.MethodGet, "/look/x", "a1"))
	assert.Zero(t, one.upstream.ran("a1"))
}

// TestCallerGoneEndsTheWork closes the caller's connection under a lookup.
func TestCallerGoneEndsTheWork(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	other := b.add("other", "marriages")
	b.meet()
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

// TestMalformedReport is refused with the reason.
func TestMalformedReport(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	one := b.add("one", "births")
	for _, query := range []string{"", "?call=instances.heartbeat", "?call=other&of=i-1", "?call=instances.heartbeat&of=i-1"} {
		r, err := http.Post("http://"+one.settings.Load().Reports()+"/-/rpc"+query, "application/json", nil)
		require.NoError(t, err)
		_ = r.Body.Close()
		assert.Equal(t, 400, r.StatusCode, query)
	}
}
