package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/listener"
)

const (
	uploads = 60
	// uploadBytes is more than the sockets of both ends hold.
	uploadBytes = 16 << 20
)

// startEarly starts an upstream that answers an upload before it has read it, with a body that ends with its connection,
// and then calls end.
func startEarly(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go listener.Serve(l, func(c net.Conn) {
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Stamp: s\r\n\r\n"+text)
			}
			end(c.(*net.TCPConn))
		}()
	})
	return l.Addr().String()
}

// An answer whose connection is reset while the request is still being written must not be taken for a whole one.
func TestAnswerResetUnderAnUploadIsWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":       func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
		"reset later": func(c *net.TCPConn) { time.Sleep(2 * time.Millisecond); _, _ = c.SetLinger(0), c.Close() },
		"close":       func(c *net.TCPConn) { _ = c.Close() },
	} {
		client := newTestClient(startEarly(t, strings.Repeat("x", 2000), end))
		for i := range uploads {
			content := testContent(fmt.Sprintf("x%d", i))
			content.Body = make([]byte, uploadBytes)
			_, f := client.do(context.Background(), content, testMetadata, true, noGuard{})
			if assert.NotNil(t, f, name) {
				assert.Equal(t, Broken, f.outcome, f.detail)
			}
		}
	}
}

// An early answer that its upstream has ended must be passed on, whatever becomes of the rest of the request.
func TestEndedAnswerUnderAnUploadIsCut(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"ends, then resets":   func(c *net.TCPConn) { _, _ = c.CloseWrite(), c.SetLinger(0); _ = c.Close() },
		"ends and reads on":   func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
		"ends and reads none": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(20 * time.Millisecond); _ = c.Close() },
	} {
		client := newTestClient(startEarly(t, "whole", end))
		for i := range uploads {
			content := testContent(fmt.Sprintf("x%d", i))
			content.Body = make([]byte, uploadBytes)
			a, f := client.do(context.Background(), content, testMetadata, true, noGuard{})
			if assert.Nil(t, f, name) {
				assert.Equal(t, "whole", string(a.body))
			}
		}
	}
}

// A health check must not take an answer with an invalid head for that of a healthy upstream.
func TestInvalidHealthAnswerIsHealthy(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/2.0 200 OK\r\n"} {
		u := startRaw(t, func(conn *net.TCPConn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(conn, head+"Instance-Id: i-1\r\nConnection: close\r\n\r\n")
			_ = conn.Close()
			return false
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err := newTestClient(u.Addr().String()).checkHealth(ctx, "/health")
		cancel()
		assert.Error(t, err, head)
	}
}
