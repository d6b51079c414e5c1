package mesh

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/result"
	"eiderfold/settings"
)

// heldListener is a listener whose accepting goroutine can be kept from running, as on a busy
// machine.
type heldListener struct {
	net.Listener
	turn        sync.Mutex // Locked while the accepting goroutine does not run.
	beforeClose func()
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.turn.Lock()
	//lint:ignore SA2001 It only waits for its turn.
	l.turn.Unlock()
	return l.Listener.Accept()
}

func (l *heldListener) Close() error {
	l.beforeClose()
	return l.Listener.Close()
}

// holdTime is how long the accepting goroutine does not run after the stop began to close its
// listener.
const holdTime = 30 * time.Millisecond

// A stop must answer a request that was written whole on an established connection before the
// listener began to close, although the node has not accepted that connection yet. It was reset.
func TestStopAnswersConnectionNotYetAccepted(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.newNode("one", "births")
	s, err := settings.ParseMesh("test", []byte(one.yaml))
	require.NoError(t, err)
	n := New(s, platform.New(one.store), NewMetrics(), testLogger(t))
	opened, err := n.listen()
	require.NoError(t, err)
	held := &heldListener{Listener: opened.callers}
	opened.callers = held
	n.serve(opened)

	held.turn.Lock() // The goroutine accepts one more connection and then waits.
	first, err := net.Dial("tcp4", s.Callers())
	require.NoError(t, err)
	defer first.Close() //nolint:errcheck // Nothing is written to it.
	var c net.Conn
	held.beforeClose = func() {
		c, err = net.Dial("tcp4", s.Callers())
		require.NoError(t, err)
		_, err = c.Write([]byte("GET /look/x HTTP/1.1\r\nHost: office.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1000\r\n\r\n"))
		require.NoError(t, err)
		time.AfterFunc(holdTime, held.turn.Unlock)
	}
	n.stop(opened)
	require.NotNil(t, c)
	defer c.Close() //nolint:errcheck // It was only read last.
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
}

// A stop must answer a report that it is handling, as its sender takes an acknowledgement as a promise and needs it
// before its own end: the report was cut with the process.
func TestStopCutsReport(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.newNode("one", "births")
	s, err := settings.ParseMesh("test", []byte(one.yaml))
	require.NoError(t, err)
	one.Node = New(s, platform.New(one.store), NewMetrics(), testLogger(t))
	opened, err := one.listen()
	require.NoError(t, err)
	status := make(chan int, 1)
	opened.reports = &heldListener{Listener: opened.reports, beforeClose: sync.OnceFunc(func() {
		one.store.denied.Store(true)
		before := one.store.puts.Load()
		go func() {
			got, _ := one.sendReport(1, true)
			status <- got
		}()
		require.Eventually(t, func() bool { return one.store.puts.Load() > before }, waitTimeout, time.Millisecond)
		one.store.denied.Store(false) // The record is tried once more.
	})}
	one.serve(opened)
	one.stop(opened)
	select {
	case got := <-status:
		assert.Equal(t, http.StatusOK, got)
	default:
		t.Error("the process has ended")
	}
}

// Stopping the ingress of one request and the gate of another must not interrupt either.
func TestStopCompletesRequests(t *testing.T) {
	t.Parallel()
	_, one, other := newPair(t)
	started, release := one.upstream.block()
	defer release()
	status := make(chan int, 2)
	go func() { status <- other.status(http.MethodPost, "/write/x", "a1") }()
	go func() { status <- one.status(http.MethodPost, "/write/x", "a2") }()
	<-started
	<-started
	other.cancel()
	one.cancel()
	require.Eventually(t, func() bool { return !one.ready() && !other.ready() }, waitTimeout, time.Millisecond)
	release()
	assert.Equal(t, 200, <-status)
	assert.Equal(t, 200, <-status)
	<-one.done
	<-other.done
}

// Stops the ingress of a non-retryable request that outlasts the grace period: the caller
// must get a response, not a broken connection.
func TestStopAnswersUnfinishedRequests(t *testing.T) {
	t.Parallel()
	_, one, other := newPair(t)
	status, release := other.blockedWriteAt(one)
	defer release()
	other.stopNode()
	assert.Zero(t, other.server.CloseIdle(), "connections left when the process exits")
	assert.Equal(t, 502, <-status)
}

// Guards against a stopping node that closes its listener while it still works, so that callers
// who are not moved away yet get no answer: it must refuse new requests until it ends.
func TestStopRefusesNewRequests(t *testing.T) {
	t.Parallel()
	_, births, marriages := newPair(t)
	marriages.stopNode()
	marriages.yaml = strings.Replace(marriages.yaml, "grace: 2s", "grace: 4s", 1)
	marriages.start()
	marriages.report(1, false)
	births.cluster.awaitReady()
	status, release := marriages.blockedWriteAt(births)
	defer release()
	marriages.cancel()
	for i := 0; ; i++ {
		r, _, err := marriages.ask(context.Background(), http.MethodGet, "/marriages/x", fmt.Sprintf("b%d", i))
		require.NoError(t, err, "request %d", i)
		if r.StatusCode == http.StatusServiceUnavailable {
			assert.Equal(t, fmt.Sprint(int(result.Stopping)), r.Header.Get(result.Header))
			assert.NotEmpty(t, r.Header.Get("Retry-After"))
			break
		}
		require.Equal(t, http.StatusOK, r.StatusCode)
		time.Sleep(5 * time.Millisecond)
	}
	release()
	assert.Equal(t, http.StatusOK, <-status)
	<-marriages.done
}

// A stop must not end before an answer of its gate has reached the node that asked, however slowly that one reads: the
// answer was lost with the process.
func TestStopLosesAnswerOnTheLink(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	n := b.newNode("one", "births")
	n.yaml = strings.Replace(n.yaml, "grace: 2s", "grace: 6s", 1)
	n.start()
	conn, err := net.Dial("tcp4", n.settings.Load().Links())
	require.NoError(t, err)
	asking := link.New(conn)
	defer asking.Close()
	hold := make(chan bool)
	answer := make(chan int, 1)
	go asking.Run(func(f *link.Frame) { //nolint:errcheck // It ends with the test.
		<-hold
		if f.Answer != nil {
			answer <- len(f.Answer.Body)
		}
	})
	const size = 32 << 20 // More than the sockets hold.
	require.Eventually(t, func() bool { return n.inboundLink() != nil }, waitTimeout, time.Millisecond)
	require.True(t, n.inboundLink().Send(&link.Frame{Answer: &link.Answer{Body: make([]byte, size)}}))
	n.cancel()
	time.AfterFunc(3*time.Second, func() { close(hold) }) // The stop's first part takes 2.5 s.
	select {
	case got := <-answer:
		assert.Equal(t, size, got)
	case <-n.done:
		t.Error("the process has ended")
	}
	<-n.done
}

// inboundLink returns a link that another node has dialed; nil if there is none.
func (n *testNode) inboundLink() *link.Link {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	for in := range n.links.inbound {
		return in
	}
	return nil
}
