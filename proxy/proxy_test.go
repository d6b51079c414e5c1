package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/config"
	"eiderfold/core"
	"eiderfold/listener"
	"eiderfold/result"
)

const testTemplate = `template: t
services:
  - name: s
    upstreams: 2
    floor: 1
    slots: 4
    retry_budget: 0.1
    routes:
      - {name: get, pattern: "GET /get/{id}", operation: retryable, timeout: 3s}
      - {name: post, pattern: "POST /post", operation: at_most_once, timeout: 3s}
`

// testCluster is a handler over upstreams, with an operation table that grants every
// claim.
type testCluster struct {
	*Handler
	service  *Service
	server   *httptest.Server
	finished atomic.Pointer[core.Stage]
}

func (b *testCluster) Service(string, string) *Service { return b.service }

func (b *testCluster) Loaded() bool { return true }

func (b *testCluster) Begin(context.Context, string, core.Key, uint64, time.Time) (Operation, *core.Recorded, *result.Error) {
	return b, nil, nil
}

func (b *testCluster) Finish(stage core.Stage, _ *core.Recorded) { b.finished.Store(&stage) }

func newTestCluster(t testing.TB, addresses ...string) *testCluster {
	t.Helper()
	holder, template, accounts := config.NewHolder(), &config.Shard{}, &config.Shard{}
	template.PutTemplate(config.Change{PublishID: "a"}, testTemplate)
	accounts.PutAccount(config.Change{PublishID: "b"}, "a", nil)
	for key, s := range map[string]*config.Shard{config.TemplateKey("t"): template, config.AccountKey("t", "a"): accounts} {
		value, err := s.Encode()
		require.NoError(t, err)
		_, err = holder.Apply(key, value)
		require.NoError(t, err)
	}
	b := &testCluster{service: NewService(holder.Snapshot().Template("t").Service("s"))}
	b.Handler = NewHandler(holder, b, b)
	var shares []Share
	for i, a := range addresses {
		u := NewUpstream("s", fmt.Sprintf("u%d", i), a, 100, nil)
		t.Cleanup(u.Close)
		shares = append(shares, Share{Upstream: u, Weight: 1, LocalWeight: 1})
	}
	b.service.Rotate(shares, time.Now().Add(time.Hour))
	b.server = httptest.NewServer(b.Handler)
	t.Cleanup(b.server.Close)
	return b
}

// send makes a request and returns the status, result number and body. err is set
// if the connection broke or the body was truncated.
func (b *testCluster) send(t *testing.T, method, path, key, body string) (status int, number, text string, err error) {
	t.Helper()
	r, err := http.NewRequest(method, b.server.URL+"/a"+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		r.Header.Set(KeyHeader, key)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer answer.Body.Close() //nolint:errcheck // Only read from.
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header.Get(result.Header), string(content), err
}

// dropper is an upstream that closes connections while a request runs: if answersFirst
// is set it answers the first request of a connection, and it closes after the next.
type dropper struct {
	net.Listener
	requests atomic.Int32
}

// newDropper starts a dropper; answersFirst makes it answer the first request of each
// connection.
func newDropper(t *testing.T, answersFirst bool) *dropper {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &dropper{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go listener.Serve(l, func(c net.Conn) { go d.serve(c, answersFirst) })
	return d
}

func (d *dropper) serve(c net.Conn, answersFirst bool) {
	defer c.Close() //nolint:errcheck // Closing it is the purpose.
	reader := bufio.NewReader(c)
	for answered := false; ; answered = true {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		d.requests.Add(1)
		if answered || !answersFirst {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// lateCopier is an upstream that writes the answer to the first request of a connection once more before each later
// answer on it.
type lateCopier struct {
	net.Listener
	namesAttempts bool
}

func newLateCopier(t *testing.T, namesAttempts bool) *lateCopier {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &lateCopier{Listener: l, namesAttempts: namesAttempts}
	t.Cleanup(func() { _ = l.Close() })
	go listener.Serve(l, func(c net.Conn) { go u.serve(c) })
	return u
}

func (u *lateCopier) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // It was only written to.
	first := ""
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		name := ""
		if u.namesAttempts {
			name = AttemptHeader + ": " + r.Header.Get(AttemptHeader) + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(r.URL.Path), r.URL.Path)
		_, _ = io.WriteString(c, first+answer)
		first = answer
	}
}

// A late copy of an answer must not be taken for the answer to the next caller's request on the connection.
func TestLateAnswerIsNextCallersAnswer(t *testing.T) {
	for _, namesAttempts := range []bool{true, false} {
		b := newTestCluster(t, newLateCopier(t, namesAttempts).Addr().String())
		for i := range 5 {
			path := fmt.Sprintf("/get/%d", i)
			status, _, text, err := b.send(t, http.MethodGet, path, "", "")
			require.NoError(t, err)
			if status == http.StatusOK {
				assert.Equal(t, path, text, "attempts named: %v", namesAttempts)
				continue
			}
			assert.True(t, namesAttempts && i > 0, "request %d failed with %d, attempts named: %v", i, status, namesAttempts)
		}
	}
}

// An upstream that names attempts must keep its connections, and its callers don't see the names.
func TestNamedAttemptsShareConnection(t *testing.T) {
	var connections atomic.Int32
	u := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	}))
	u.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	u.Start()
	t.Cleanup(u.Close)
	b := newTestCluster(t, u.Listener.Addr().String())
	for range 5 {
		answer, err := http.Get(b.server.URL + "/a/get/1")
		require.NoError(t, err)
		_ = answer.Body.Close()
		assert.Empty(t, answer.Header.Get(AttemptHeader))
	}
	assert.EqualValues(t, 2, connections.Load(), "the first one shows that the upstream names attempts")
}

// TestTransportWouldReplay shows why noRewind is needed: net/http itself resends a
// keyed POST without a body when its reused connection breaks.
func TestTransportWouldReplay(t *testing.T) {
	d := newDropper(t, true)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+d.Addr().String()+"/post", nil)
		require.NoError(t, err)
		r.Header.Set(KeyHeader, "k")
		answer, err := transport.RoundTrip(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	}
	assert.Greater(t, d.requests.Load(), int32(2), "net/http no longer resends such requests; noRewind can be removed")
}

// TestOperationsAreNeverReplayed guards against operations, with and without a key
// and a body, being sent again when the upstream's connection breaks.
func TestOperationsAreNeverReplayed(t *testing.T) {
	for _, answersFirst := range []bool{true, false} {
		for _, key := range []string{"", "k"} {
			for _, body := range []string{"", "body"} {
				d := newDropper(t, answersFirst)
				b := newTestCluster(t, d.Addr().String())
				const sent = 3
				for range sent {
					_, number, text, err := b.send(t, http.MethodPost, "/post", key, body)
					require.NoError(t, err)
					if !answersFirst {
						assert.Equal(t, "40", number, text)
					}
				}
				assert.Equal(t, int32(sent), d.requests.Load(), "key %q body %q", key, body)
			}
		}
	}
}

// TestNotRunNeedsProof checks that a refused connection is recorded and reported as
// not run.
func TestNotRunNeedsProof(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	b := newTestCluster(t, closed.Addr().String())
	_, number, _, err := b.send(t, http.MethodPost, "/post", "k", "body")
	require.NoError(t, err)
	assert.Equal(t, "36", number)
	assert.Equal(t, core.NotStarted, *b.finished.Load())
}

// TestShedIsNotRun checks that an operation shed by one upstream is sent to the other,
// and recorded as not run if there is none.
func TestShedIsNotRun(t *testing.T) {
	shedding := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer shedding.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }))
	defer good.Close()
	b := newTestCluster(t, shedding.Listener.Addr().String(), good.Listener.Addr().String())
	for range 5 {
		status, number, text, err := b.send(t, http.MethodPost, "/post", "k", "body")
		require.NoError(t, err)
		assert.Equal(t, "200 10 done", fmt.Sprint(status, " ", number, " ", text))
	}
	alone := newTestCluster(t, shedding.Listener.Addr().String())
	_, number, _, err := alone.send(t, http.MethodPost, "/post", "k", "body")
	require.NoError(t, err)
	assert.Equal(t, "35", number)
	assert.Equal(t, core.NotStarted, *alone.finished.Load())
}

// TestTruncatedAnswers guards against relaying a truncated answer as complete: a short
// one becomes a retry or an error, a long one breaks the caller's connection.
func TestTruncatedAnswers(t *testing.T) {
	for _, size := range []int{100, 10 * prefixBytes} {
		for _, chunked := range []bool{true, false} {
			cutting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !chunked {
					w.Header().Set("Content-Length", fmt.Sprint(size))
				}
				_, _ = io.WriteString(w, strings.Repeat("x", size/2))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}))
			b := newTestCluster(t, cutting.Listener.Addr().String())
			status, _, text, err := b.send(t, http.MethodGet, "/get/1", "", "")
			assert.True(t, err != nil || status == http.StatusBadGateway, "size %d chunked %v: %d, %d bytes", size, chunked, status, len(text))
			status, _, _, err = b.send(t, http.MethodPost, "/post", "k", "body")
			assert.True(t, err != nil || status == http.StatusBadGateway, "size %d chunked %v", size, chunked)
			cutting.Close()
		}
	}
}

// TestSlowCaller checks that a caller whose body does not arrive in time gets a result.
func TestSlowCaller(t *testing.T) {
	b := newTestCluster(t, "127.0.0.1:1")
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close() //nolint:errcheck // Only read from.
	_, err = io.WriteString(c, "POST /a/post HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nEiderfold-Timeout: 50ms\r\n\r\nhalf")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_ = answer.Body.Close()
	assert.Equal(t, "24", answer.Header.Get(result.Header))
}

// TestRetriesAreBounded checks that retries stay within the retry budget when every
// upstream fails.
func TestRetriesAreBounded(t *testing.T) {
	var work atomic.Int32
	failing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		work.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	})
	one, two := httptest.NewServer(failing), httptest.NewServer(failing)
	defer one.Close()
	defer two.Close()
	b := newTestCluster(t, one.Listener.Addr().String(), two.Listener.Addr().String())
	const sent = 400
	for range sent {
		status, _, _, err := b.send(t, http.MethodGet, "/get/1", "", "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusInternalServerError, status)
	}
	bound := sent + sent/10 + maxRetryTokens/tokenUnit
	assert.LessOrEqual(t, int(work.Load()), bound)
	assert.Greater(t, int(work.Load()), sent, "nothing was retried at all")
}

// TestRetryUsesAnotherUpstream checks that every lookup is answered although one
// upstream fails, and that each of its failures is still counted.
func TestRetryUsesAnotherUpstream(t *testing.T) {
	var failures atomic.Int32
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failures.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer failing.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }))
	defer good.Close()
	b := newTestCluster(t, failing.Listener.Addr().String(), good.Listener.Addr().String())
	for sent := 0; sent < 5 || failures.Load() == 0; sent++ {
		require.Less(t, sent, 1000, "no request meets the failing upstream")
		_, _, text, err := b.send(t, http.MethodGet, "/get/1", "", "")
		require.NoError(t, err)
		assert.Equal(t, "done", text)
	}
	counts := map[string]core.Count{}
	for _, u := range b.service.Upstreams() {
		counts[u.Name()] = u.Drain()
	}
	assert.EqualValues(t, failures.Load(), counts["u0"].Failed, "failures of retried requests are not counted")
	assert.Zero(t, counts["u1"].Failed)
}

// TestOverloadIsRefusedEarly checks that a request that cannot get a slot in time is
// refused at once with Retry-After.
func TestOverloadIsRefusedEarly(t *testing.T) {
	release := make(chan struct{})
	busy := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer busy.Close()
	b := newTestCluster(t, busy.Listener.Addr().String())
	b.service.meanNanos.Store(int64(time.Minute)) // A long expected wait.
	var sending sync.WaitGroup
	for range 4 {
		sending.Go(func() { _, _, _, _ = b.send(t, http.MethodGet, "/get/1", "", "") })
	}
	require.Eventually(t, func() bool { return b.service.Upstreams()[0].InFlight() == 4 }, time.Minute, time.Millisecond)
	r, err := http.Get(b.server.URL + "/a/get/2")
	require.NoError(t, err)
	_ = r.Body.Close()
	assert.Equal(t, "31", r.Header.Get(result.Header))
	assert.Equal(t, "15", r.Header.Get("Retry-After"))
	close(release)
	sending.Wait()
}

// TestBadCallerIsNotEvidence checks that an account's requests that fail at several
// upstreams do not count against the upstreams.
func TestBadCallerIsNotEvidence(t *testing.T) {
	u, other := &Upstream{name: "u"}, &Upstream{name: "other"}
	a := &config.Account{}
	now := time.Unix(1000, 0)
	attribution := newAttributor()
	assert.False(t, attribution.recordError(a, u, now), "the first error counts")
	assert.False(t, attribution.recordError(a, u, now), "so does the next one at the same upstream")
	assert.True(t, attribution.recordError(a, other, now), "an error at a second upstream is attributed to the account")
	assert.True(t, attribution.recordError(a, u, now))
	attribution.recordSuccess(a)
	assert.False(t, attribution.recordError(a, other, now), "a success clears the account")
}

// TestCancelledRequestCountsAsSlow checks that a cancelled request counts as slow only
// if it was already past its slow threshold.
func TestCancelledRequestCountsAsSlow(t *testing.T) {
	u := &Upstream{}
	now := time.Unix(1000, 0)
	early := u.track(now, time.Second, time.Minute)
	late := u.track(now, time.Second, time.Minute)
	u.finish(early, noEvidence, now.Add(time.Second/2))
	u.finish(late, noEvidence, now.Add(2*time.Second))
	assert.Equal(t, core.Count{Slow: 1}, u.Drain())
}

// BenchmarkLookup benchmarks a request through the node, including client and
// upstream, whose connections are kept if it names attempts.
func BenchmarkLookup(b *testing.B) {
	for name, header := range map[string]string{"named": AttemptHeader, "unnamed": "X-Other"} {
		b.Run(name, func(b *testing.B) {
			good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(header, r.Header.Get(header))
				fmt.Fprint(w, "done")
			}))
			defer good.Close()
			cluster := newTestCluster(b, good.Listener.Addr().String())
			sendLoad(b, cluster.server.URL+"/a/get/1")
		})
	}
}

// BenchmarkDirect benchmarks the same request without a node.
func BenchmarkDirect(b *testing.B) {
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }))
	defer good.Close()
	sendLoad(b, good.URL)
}

// sendLoad sends b.N requests, one after the other.
func sendLoad(b *testing.B, url string) {
	b.ReportAllocs()
	for range b.N {
		answer, err := http.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}
