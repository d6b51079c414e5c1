package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bodymemory"
	"eiderfold/listener"
)

// startRawUpstream starts an upstream that writes a text for each request, then another one again and again until its
// peer closes, and closes. It returns its address and how many bytes were written.
func startRawUpstream(t *testing.T, begin, again string) (address string, written *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	written = &atomic.Int64{}
	go listener.Serve(l, func(c net.Conn) {
		go func() {
			defer c.Close() //nolint:errcheck // Nothing more is sent.
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			piece := begin
			for {
				n, err := io.WriteString(c, piece)
				written.Add(int64(n))
				if err != nil || again == "" {
					return
				}
				piece = strings.Repeat(again, 1000)
			}
		}()
	})
	return l.Addr().String(), written
}

// An answer whose head breaks off must not become a success with an empty or short body.
func TestBrokenHeadBecomesASuccess(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 20", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 1", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r"} {
		address, _ := startRawUpstream(t, head, "")
		b := newTestCluster(t, address)
		for method, path := range map[string]string{http.MethodGet: "/get/1", http.MethodPost: "/post"} {
			status, _, text, err := b.send(t, method, path, "k", "")
			assert.True(t, err != nil || status == http.StatusBadGateway, "%q: %d %q", head, status, text)
		}
	}
}

// An answer with an invalid head must not be passed on.
func TestInvalidHeadIsPassedOn(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 A\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n"} {
		address, _ := startRawUpstream(t, head+"Connection: close\r\n\r\ntext", "")
		b := newTestCluster(t, address)
		status, _, text, err := b.send(t, http.MethodGet, "/get/1", "", "")
		assert.True(t, err != nil || status == http.StatusBadGateway, "%q: %d %q", head, status, text)
	}
}

// An answer that is reset while the request is still being written must not be taken for a whole one.
func TestAnswerResetUnderAnUploadIsWhole(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go listener.Serve(l, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_, _ = c.(*net.TCPConn).SetLinger(0), c.Close()
	})
	b := newTestCluster(t, l.Addr().String())
	body := strings.Repeat("x", 8<<20)
	for range 200 {
		status, _, text, err := b.send(t, http.MethodPost, "/post", "", body)
		assert.True(t, err != nil || status >= http.StatusInternalServerError, "%d %q", status, text)
	}
}

// A head without end must not be read until the deadline.
func TestHeadWithoutEndIsRead(t *testing.T) {
	for _, c := range []struct{ begin, again string }{
		{"HTTP/1.1 200 OK\r\nA: ", "x"}, {"HTTP/1.1 200 OK\r\n", "A: x\r\n"}, {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, {"", "x"},
	} {
		address, written := startRawUpstream(t, c.begin, c.again)
		b := newTestCluster(t, address)
		status, _, _, err := b.send(t, http.MethodPost, "/post", "k", "body")
		assert.True(t, err != nil || status == http.StatusBadGateway, "%d", status)
		assert.Less(t, written.Load(), int64(16<<20)) // Both ends' sockets hold some megabytes.
	}
}

// A recorded answer without end must not be read until the deadline.
func TestRecordedAnswerWithoutEndFillsTheMemory(t *testing.T) {
	const memory = 3 << 20
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n"} {
		address, written := startRawUpstream(t, head, "x")
		b := newTestCluster(t, address)
		b.bodies = bodymemory.New(memory)
		status, _, _, err := b.send(t, http.MethodPost, "/post", "k", "")
		assert.True(t, err != nil || status == http.StatusBadGateway, "%d", status)
		assert.Less(t, written.Load(), int64(memory+16<<20)) // Both ends' sockets hold some megabytes.
		assert.LessOrEqual(t, b.bodies.State().Peak, int64(memory))
	}
}
