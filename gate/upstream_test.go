package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bodymemory"
	"eiderfold/link"
	"eiderfold/listener"
	"eiderfold/platform"
	"eiderfold/port"
)

// answerCase is what an upstream writes for one request, and the expected result.
type answerCase struct {
	Name    string `yaml:"name"`
	Writes  string `yaml:"writes"`
	Closes  bool   `yaml:"closes"`
	Resets  bool   `yaml:"resets"`
	Status  int    `yaml:"status"`
	Body    string `yaml:"body"`
	Outcome string `yaml:"outcome"` // Of a failure; empty for an answer.
	Reason  string `yaml:"reason"`  // Set if the request has certainly not run.
	Kept    bool   `yaml:"kept"`    // The connection is kept for reuse.
}

// rawUpstream answers the requests on its connections by a function.
type rawUpstream struct {
	net.Listener
	connections atomic.Int32
	requests    atomic.Int32
}

func startRaw(t *testing.T, answer func(c *net.TCPConn, r *http.Request, body []byte) (keepOpen bool)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	u := &rawUpstream{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go listener.Serve(l, func(c net.Conn) {
		u.connections.Add(1)
		go u.serve(c.(*net.TCPConn), answer)
	})
	return u
}

func (u *rawUpstream) serve(c *net.TCPConn, answer func(*net.TCPConn, *http.Request, []byte) bool) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			_ = c.Close()
			return
		}
		body, _ := io.ReadAll(r.Body)
		u.requests.Add(1)
		if !answer(c, r, body) {
			return
		}
	}
}

func (a answerCase) write(c *net.TCPConn, r *http.Request) bool {
	_, _ = io.WriteString(c, strings.ReplaceAll(a.Writes, "{id}", r.Header.Get("Attempt-Id")))
	switch {
	case a.Resets:
		time.Sleep(20 * time.Millisecond) // Let the client read what came before the reset.
		_ = c.SetLinger(0)
		_ = c.Close()
	case a.Closes:
		_ = c.Close()
	}
	return !a.Resets && !a.Closes
}

func newTestClient(address string) *client {
	return &client{address: address, dialect: platform.Headers{}, dialed: func() {}, memory: bodymemory.New(maxAnswerBytes)}
}

func testContent(id string) *link.Content {
	return &link.Content{Method: http.MethodPost, Target: "/a/%2Fb?q=1", Host: "office.example", Header: http.Header{"Attempt-Id": {id}}, Body: []byte("text")}
}

// noGuard lets every request pass.
type noGuard struct{}

func (noGuard) begin() *failure { return nil }
func (noGuard) end()            {}

var testMetadata = port.OutgoingMetadata{TimeLeft: 2 * time.Second, Upstream: "i-1", CallerService: "births"}

func TestAnswers(t *testing.T) {
	text, err := os.ReadFile("testdata/answers/cases.yaml")
	require.NoError(t, err)
	var cases []answerCase
	require.NoError(t, yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			u := startRaw(t, func(conn *net.TCPConn, r *http.Request, _ []byte) bool { return c.write(conn, r) })
			client := newTestClient(u.Addr().String())
			a, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
			if c.Outcome == "" {
				require.Nil(t, f)
				assert.Equal(t, c.Status, a.status)
				assert.Equal(t, c.Body, string(a.body))
			} else {
				require.NotNil(t, f)
				assert.Equal(t, c.Outcome, outcomeNames[f.outcome])
				reason := c.Reason
				if reason == "" {
					reason = "none"
				}
				assert.Equal(t, reason, f.reason.String())
			}
			assert.Equal(t, c.Kept, len(client.idle) == 1, "connection kept")
			assert.EqualValues(t, 1, u.requests.Load(), "requests that reached the upstream")
		})
	}
}

// TestRequestPassesUnchanged checks the request that the upstream receives.
func TestRequestPassesUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	body := make(chan string, 1)
	u := startRaw(t, func(c *net.TCPConn, r *http.Request, b []byte) bool {
		seen <- r
		body <- string(b)
		return answerCase{Writes: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"}.write(c, r)
	})
	content := testContent("x1")
	content.Header["Caller-Service"] = []string{"forged"}
	content.Header["X-Own"] = []string{"1", "2"}
	_, f := newTestClient(u.Addr().String()).do(context.Background(), content, testMetadata, true, noGuard{})
	require.Nil(t, f)
	r := <-seen
	assert.Equal(t, "/a/%2Fb?q=1", r.RequestURI)
	assert.Equal(t, "office.example", r.Host)
	assert.Equal(t, []string{"births"}, r.Header["Caller-Service"])
	assert.Equal(t, []string{"1", "2"}, r.Header["X-Own"])
	assert.Equal(t, "i-1", r.Header.Get("Expect-Instance"))
	assert.Equal(t, "2000", r.Header.Get("Deadline-Ms"))
	assert.Equal(t, "text", <-body)
}

// A kept connection that the upstream has closed must not be reused: the next request goes out
// once, on a new connection.
func TestClosedConnectionIsNotReused(t *testing.T) {
	first := make(chan *net.TCPConn, 4)
	u := startRaw(t, func(c *net.TCPConn, r *http.Request, _ []byte) bool {
		first <- c
		return answerCase{Writes: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"}.write(c, r)
	})
	client := newTestClient(u.Addr().String())
	_, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
	require.Nil(t, f)
	require.NoError(t, (<-first).Close())
	require.Eventually(t, func() bool { return len(client.idle) == 1 && !isUsable(client.idle[0]) }, 5*time.Second, time.Millisecond)
	_, f = client.do(context.Background(), testContent("x2"), testMetadata, true, noGuard{})
	require.Nil(t, f)
	assert.EqualValues(t, 2, u.connections.Load())
	assert.EqualValues(t, 2, u.requests.Load())
}

// startRepeatingRefusal starts an upstream that refuses its first request and writes the refusal once more before
// its answer to the next request on that connection. It serves all others.
func startRepeatingRefusal(t *testing.T, refusal string) *rawUpstream {
	const served = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"
	var refusedOn atomic.Pointer[net.TCPConn]
	return startRaw(t, func(c *net.TCPConn, r *http.Request, _ []byte) bool {
		switch {
		case refusedOn.CompareAndSwap(nil, c):
			return answerCase{Writes: refusal}.write(c, r)
		case refusedOn.Load() == c:
			return answerCase{Writes: refusal + served}.write(c, r)
		default:
			return answerCase{Writes: served}.write(c, r)
		}
	})
}

// A late copy of a refusal must not be taken for the answer to the next try of the same attempt: it would be
// reported as not run although it has run.
func TestLateCopyOfRefusalAnswersNextTry(t *testing.T) {
	u := startRepeatingRefusal(t, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	client := newTestClient(u.Addr().String())
	_, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
	require.NotNil(t, f)
	require.Equal(t, link.ReasonShed, f.reason)
	a, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
	require.Nil(t, f)
	assert.Equal(t, http.StatusOK, a.status)
}

// A late copy of a refusal that names no request must not be taken for the answer to the next request on the
// connection: that one would be reported as not run although it has run.
func TestLateRefusalWithoutIDAnswersNextRequest(t *testing.T) {
	u := startRepeatingRefusal(t, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	client := newTestClient(u.Addr().String())
	_, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
	require.NotNil(t, f)
	require.Equal(t, link.ReasonShed, f.reason)
	a, f := client.do(context.Background(), testContent("x2"), testMetadata, true, noGuard{})
	require.Nil(t, f)
	assert.Equal(t, http.StatusOK, a.status)
}

// An answer that comes before the upstream has read a long body must not wait for the write of that body: a refusal
// was known only at the deadline, as an attempt of unknown outcome.
func TestEarlyAnswerWaitsForWriteOfLongBody(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	go listener.Serve(l, func(c net.Conn) {
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				answerCase{Writes: refusal}.write(c.(*net.TCPConn), r) // It never reads the body.
			}
		}()
	})
	client := newTestClient(l.Addr().String())
	content := testContent("x1")
	content.Body = make([]byte, 32<<20) // More than the sockets hold.
	started := time.Now()
	_, f := client.do(context.Background(), content, testMetadata, true, noGuard{})
	require.NotNil(t, f)
	assert.Equal(t, link.ReasonShed, f.reason)
	assert.Less(t, time.Since(started), testMetadata.TimeLeft/2)
	assert.Empty(t, client.idle, "connections kept with a part of a request on them")
}

// A request that may run only once must not use a connection that has been idle for long.
func TestOnceUsesNoLongIdleConnection(t *testing.T) {
	u := startRaw(t, func(c *net.TCPConn, r *http.Request, _ []byte) bool {
		return answerCase{Writes: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"}.write(c, r)
	})
	client := newTestClient(u.Addr().String())
	_, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
	require.Nil(t, f)
	client.idle[0].idleSince = time.Now().Add(-maxIdleTimeOnce)
	_, f = client.do(context.Background(), testContent("x2"), testMetadata, false, noGuard{})
	require.Nil(t, f)
	assert.EqualValues(t, 1, u.connections.Load(), "a retryable request uses it")
	client.idle[0].idleSince = time.Now().Add(-maxIdleTimeOnce)
	_, f = client.do(context.Background(), testContent("x3"), testMetadata, true, noGuard{})
	require.Nil(t, f)
	assert.EqualValues(t, 2, u.connections.Load(), "another one does not")
}

// After a connection broke at the end of an idle time, other connections must be dropped
// earlier, until answers raise the limit again.
func TestIdleLimitAdaptsToBrokenConnections(t *testing.T) {
	u := startRaw(t, func(c *net.TCPConn, r *http.Request, _ []byte) bool {
		return answerCase{Writes: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"}.write(c, r)
	})
	client := newTestClient(u.Addr().String())
	_, f := client.do(context.Background(), testContent("x1"), testMetadata, false, noGuard{})
	require.Nil(t, f)
	client.adaptIdle(time.Second, &failure{outcome: Broken})
	assert.Equal(t, 700*time.Millisecond, client.idleLimit(false))
	client.idle[0].idleSince = time.Now().Add(-800 * time.Millisecond)
	_, f = client.do(context.Background(), testContent("x2"), testMetadata, false, noGuard{})
	require.Nil(t, f)
	assert.EqualValues(t, 2, u.connections.Load(), "the rested connection was not used")
	for range 20 {
		client.adaptIdle(0, nil)
	}
	assert.Greater(t, client.idleLimit(false), 2*time.Second)
	assert.Equal(t, maxIdleTimeOnce, client.idleLimit(true))
}

// A request has certainly not run if nothing listens.
func TestRefusedConnectionHasNotRun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, f := newTestClient(l.Addr().String()).do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
	require.NotNil(t, f)
	assert.Equal(t, link.ReasonNotConnected, f.reason)
}

// Canceling an attempt must close its connection.
func TestCancelClosesTheConnection(t *testing.T) {
	started, ended := make(chan bool, 1), make(chan bool, 1)
	u := startRaw(t, func(c *net.TCPConn, _ *http.Request, _ []byte) bool {
		started <- true
		_, err := c.Read(make([]byte, 1))
		ended <- err != nil
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, f := newTestClient(u.Addr().String()).do(ctx, testContent("x1"), testMetadata, false, noGuard{})
	require.NotNil(t, f)
	assert.Equal(t, NoEvidence, f.outcome)
	assert.Equal(t, link.ReasonNone, f.reason, "it may have run")
	assert.True(t, <-ended)
}
