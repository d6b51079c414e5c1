package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/route"
)

// testServer serves on loopback until the test ends.
func testServer(t *testing.T, serve Serve, limits route.Limits) (*Server, net.Addr) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(serve, func() route.Limits { return limits })
	go s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr()
}

func dialServer(t *testing.T, a net.Addr) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", a.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

func readAnswer(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r, string(body)
}

func text(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(body)}
}

// TestPipelinedRunConcurrently finishes the second of two requests before the first:
// answers still come in the order of the requests.
func TestPipelinedRunConcurrently(t *testing.T) {
	second := make(chan bool)
	_, address := testServer(t, func(_ context.Context, r *Request) *Response {
		if r.RequestURI == "/1" {
			<-second
		} else {
			close(second)
		}
		return text(200, r.RequestURI)
	}, route.Limits{})
	c, in := dialServer(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, one := readAnswer(t, in)
	_, two := readAnswer(t, in)
	assert.Equal(t, []string{"/1", "/2"}, []string{one, two})
}

// A ready answer must not wait for that of a later request on the connection.
func TestReadyAnswerWaitsForLaterRequest(t *testing.T) {
	first, second := make(chan bool), make(chan bool)
	_, address := testServer(t, func(_ context.Context, r *Request) *Response {
		if r.RequestURI == "/1" {
			<-first
		} else {
			close(first) // Both have been read.
			<-second
		}
		return text(200, r.RequestURI)
	}, route.Limits{})
	c, in := dialServer(t, address)
	defer close(second)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, one := readAnswer(t, in)
	assert.Equal(t, "/1", one)
}

// An interim answer must not stand within the answer to an earlier request, nor before it: a caller who reads that
// one slowly got "100 Continue" in the middle of its body.
func TestContinueWithinAnswerToEarlierRequest(t *testing.T) {
	long := strings.Repeat("x", 16<<20) // More than the sockets hold.
	_, address := testServer(t, func(_ context.Context, r *Request) *Response {
		if r.RequestURI == "/1" {
			return text(200, long)
		}
		return text(200, string(r.Body))
	}, route.Limits{})
	c, in := dialServer(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPUT /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // The server has read both, and its writer is blocked.
	_, one := readAnswer(t, in)
	assert.True(t, one == long, "the answer to the first request is changed")
	interim, _ := readAnswer(t, in)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	_, err = io.WriteString(c, "body")
	require.NoError(t, err)
	_, two := readAnswer(t, in)
	assert.Equal(t, "body", two)
}

// A caller whose request is refused by its header must not be asked for the body first.
func TestBodyOfRefusedRequestIsAskedFor(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := NewServer(nil, func() route.Limits { return route.Limits{} }, WithHeaderCheck(func(*Request) *Response {
		time.Sleep(10 * time.Millisecond) // The writer would be waiting by now.
		return text(404, "none")
	}))
	go s.Serve(l)
	c, in := dialServer(t, l.Addr())
	_, err = io.WriteString(c, "PUT /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	require.NoError(t, err)
	r, _ := readAnswer(t, in)
	assert.Equal(t, http.StatusNotFound, r.StatusCode)
	assert.True(t, r.Close, "the body may follow or not")
}

// A body that is sent without waiting for "100 Continue" must be read though an earlier answer is still awaited.
func TestBodyWaitsForAnswerToEarlierRequest(t *testing.T) {
	read := make(chan bool)
	_, address := testServer(t, func(_ context.Context, r *Request) *Response {
		if r.RequestURI == "/1" {
			<-read
		} else {
			close(read)
		}
		return text(200, string(r.Body))
	}, route.Limits{})
	c, in := dialServer(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	readAnswer(t, in)
	interim, _ := readAnswer(t, in)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	_, two := readAnswer(t, in)
	assert.Equal(t, "body", two)
}

// A stop must wait for an answer until its caller has got all of it: a slow reader's answer was cut.
func TestStopCutsAnswerBeingWritten(t *testing.T) {
	long := strings.Repeat("x", 16<<20) // More than the sockets hold.
	s, address := testServer(t, func(context.Context, *Request) *Response { return text(200, long) }, route.Limits{})
	c, in := dialServer(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, err = in.Peek(1)
	require.NoError(t, err)
	s.Stop()
	for range 10 { // The stop's polls.
		assert.Equal(t, 1, s.Busy(), "connections with work, while an answer is being written")
		s.CloseIdle()
		time.Sleep(5 * time.Millisecond)
	}
	_, body := readAnswer(t, in)
	assert.True(t, body == long, "the answer is changed")
	require.Eventually(t, func() bool { return s.Busy() == 0 }, 5*time.Second, time.Millisecond)
}

// A caller that sends more behind its last answer must get all of that answer, however slowly it reads: the close of
// a connection with unread requests made the system drop the rest.
func TestLaterRequestCutsLastAnswer(t *testing.T) {
	long := strings.Repeat("x", 512<<10) // The sockets hold it.
	_, address := testServer(t, func(context.Context, *Request) *Response { return text(200, long) }, route.Limits{})
	c, in := dialServer(t, address)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	const request = "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	time.Sleep(3 * lingerTime)
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	time.Sleep(lingerTime / 10)
	_, body := readAnswer(t, in)
	assert.True(t, body == long, "the answer is cut")
}

// A request whose method is not safe must not run beside others of its connection: a later one could take effect first.
func TestPipelinedChangesRunTogether(t *testing.T) {
	var running atomic.Int32
	var mu sync.Mutex
	var began []string
	_, address := testServer(t, func(_ context.Context, r *Request) *Response {
		mu.Lock()
		began = append(began, r.RequestURI)
		mu.Unlock()
		together := running.Add(1)
		time.Sleep(30 * time.Millisecond)
		running.Add(-1)
		return text(200, fmt.Sprint(together))
	}, route.Limits{})
	c, in := dialServer(t, address)
	want := []string{}
	for i, method := range []string{"PUT", "PUT", "GET", "GET", "POST", "GET"} {
		_, err := fmt.Fprintf(c, "%s /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", method, i)
		require.NoError(t, err)
		want = append(want, fmt.Sprintf("/%d", i))
	}
	for i := range want {
		_, together := readAnswer(t, in)
		if i == 2 || i == 3 {
			continue // Two safe ones.
		}
		assert.Equal(t, "1", together, "requests that run with %d", i)
	}
	slices.Sort(began[2:4])
	assert.Equal(t, want, began)
}

// TestBodies sends a body with a length, one in chunks, and none.
func TestBodies(t *testing.T) {
	_, address := testServer(t, func(_ context.Context, r *Request) *Response { return text(200, string(r.Body)) }, route.Limits{})
	c, in := dialServer(t, address)
	for _, request := range []struct{ text, body string }{
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nwith", "with"},
		{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n3\r\nnks\r\n0\r\n\r\n", "chunks"},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		{"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok", "ok"},
	} {
		_, err := io.WriteString(c, request.text)
		require.NoError(t, err)
		if strings.Contains(request.text, "100-continue") {
			interim, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusContinue, interim.StatusCode)
		}
		_, body := readAnswer(t, in)
		assert.Equal(t, request.body, body)
	}
}

// TestBadRequests checks that invalid requests get an error status and their connection is
// closed.
func TestBadRequests(t *testing.T) {
	limits := route.Limits{HeaderBytes: 1024, BodyBytes: 8, HeaderTimeout: 100 * time.Millisecond}
	_, address := testServer(t, func(context.Context, *Request) *Response { return text(200, "ran") }, limits)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no HTTP":             {"hello\r\n\r\n", 400},
		"no host":             {"GET / HTTP/1.1\r\n\r\n", 400},
		"two lengths":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400},
		"proxy form":          {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"header too large":    {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n", 431},
		"body too large":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n123456789", 413},
		"chunks too large":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n", 413},
		"header never ends":   {"GET / HTTP/1.1\r\nHost: a\r\n", 408},
		"bad chunk":           {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"space before colon":  {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		"length and encoding": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: gzip\r\n\r\nxxxx", 400},
	} {
		t.Run(name, func(t *testing.T) {
			conn, in := dialServer(t, address)
			_, err := io.WriteString(conn, c.text)
			require.NoError(t, err)
			r, _ := readAnswer(t, in)
			assert.Equal(t, c.status, r.StatusCode)
			assert.True(t, r.Close)
			_, err = in.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestCallerLeaves checks that a request is cancelled when its caller closes the
// connection.
func TestCallerLeaves(t *testing.T) {
	for _, request := range []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"} {
		started, left := make(chan bool), make(chan bool)
		_, address := testServer(t, func(ctx context.Context, _ *Request) *Response {
			close(started)
			<-ctx.Done()
			close(left)
			return nil
		}, route.Limits{})
		c, _ := dialServer(t, address)
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		<-started
		require.NoError(t, c.Close())
		<-left
	}
}

func tracked(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// TestStopAnswersPending stops the server during a request: it is answered, and the answer
// announces that the connection closes.
func TestStopAnswersPending(t *testing.T) {
	started, goOn := make(chan bool), make(chan bool)
	s, address := testServer(t, func(context.Context, *Request) *Response {
		close(started)
		<-goOn
		return text(200, "done")
	}, route.Limits{})
	c, in := dialServer(t, address)
	idle, idleIn := dialServer(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-started
	// CloseIdle closes only connections that the server has accepted.
	require.Eventually(t, func() bool { return tracked(s) == 2 }, 5*time.Second, time.Millisecond)
	s.Stop()
	require.Eventually(t, func() bool { return s.CloseIdle() == 1 }, 5*time.Second, time.Millisecond, "the idle connection closes")
	_, err = idleIn.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	_ = idle.Close()
	close(goOn)
	r, body := readAnswer(t, in)
	assert.Equal(t, "done", body)
	assert.True(t, r.Close)
}

// stopWhileReading sends the first half of an order on a new connection, stops the server and
// closes its idle connections for longer than a new connection is kept.
func stopWhileReading(t *testing.T) (s *Server, c net.Conn, in *bufio.Reader) {
	t.Helper()
	s, address := testServer(t, func(_ context.Context, r *Request) *Response { return text(200, string(r.Body)) }, route.Limits{})
	c, in = dialServer(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return tracked(s) == 1 }, 5*time.Second, time.Millisecond)
	s.Stop()
	for until := time.Now().Add(2 * freshTime); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.CloseIdle()
	}
	return s, c, in
}

// TestStopAnswersRequestBeingRead guards against a stop that drops a request whose body is still
// arriving, without an answer.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	_, c, in := stopWhileReading(t)
	_, err := io.WriteString(c, "more")
	require.NoError(t, err)
	r, body := readAnswer(t, in)
	assert.Equal(t, "halfmore", body)
	assert.True(t, r.Close)
}

// TestStopRefusesUnfinishedRequest guards against the same for a body that does not arrive before
// the stop ends.
func TestStopRefusesUnfinishedRequest(t *testing.T) {
	s, _, in := stopWhileReading(t)
	assert.Equal(t, 1, s.Busy())
	s.AbortReading()
	r, _ := readAnswer(t, in)
	assert.Equal(t, http.StatusRequestTimeout, r.StatusCode)
	assert.True(t, r.Close)
	require.Eventually(t, func() bool { return s.CloseIdle() == 0 }, 5*time.Second, time.Millisecond)
}

// TestStopServesRequestThatCrossesIt guards against a stop that closes a connection on which a
// request has just arrived: the first of a new connection, or a further one of an idle connection.
func TestStopServesRequestThatCrossesIt(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, earlier := range []int{0, 1} {
		s, address := testServer(t, func(context.Context, *Request) *Response { return text(200, "done") }, route.Limits{})
		c, in := dialServer(t, address)
		for range earlier {
			_, err := io.WriteString(c, request)
			require.NoError(t, err)
			readAnswer(t, in)
		}
		require.Eventually(t, func() bool { return tracked(s) == 1 && s.Busy() == 0 }, 5*time.Second, time.Millisecond)
		s.Stop()
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		s.CloseIdle()
		_, body := readAnswer(t, in)
		assert.Equal(t, "done", body, "requests before: %d", earlier)
	}
}

// TestIdleConnectionEnds checks that a connection is closed that is idle past the limit.
func TestIdleConnectionEnds(t *testing.T) {
	_, address := testServer(t, func(context.Context, *Request) *Response { return text(200, "") }, route.Limits{IdleTimeout: 50 * time.Millisecond})
	c, in := dialServer(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	readAnswer(t, in)
	_, err = in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestHeadHasNoBody checks that an answer to HEAD has the Content-Length but no body.
func TestHeadHasNoBody(t *testing.T) {
	_, address := testServer(t, func(context.Context, *Request) *Response {
		return &Response{Status: 200, Header: http.Header{"Content-Length": {"7"}}}
	}, route.Limits{})
	c, in := dialServer(t, address)
	_, err := fmt.Fprint(c, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	r, err := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	assert.EqualValues(t, 7, r.ContentLength)
	_, body := readAnswer(t, in)
	assert.Empty(t, body)
}

// FuzzServer feeds arbitrary bytes: the server must answer with HTTP or close the
// connection, and run only requests that net/http accepts.
func FuzzServer(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		near, far := net.Pipe()
		s := NewServer(func(_ context.Context, r *Request) *Response { return text(200, r.RequestURI) }, func() route.Limits {
			return route.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
		})
		go s.open(far).handle()
		go func() {
			_, _ = near.Write(input)
		}()
		_ = near.SetReadDeadline(time.Now().Add(5 * time.Second))
		in := bufio.NewReader(near)
		for {
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, r.Body)
			require.NoError(t, err)
		}
		_ = near.Close()
	})
}
