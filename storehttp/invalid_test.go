package storehttp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startStore starts a store that answers each call with a text, and then ends the connection.
func startStore(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
			end(conn.(*net.TCPConn))
		}
	}()
	return "http://" + l.Addr().String()
}

// A response with an invalid head must be an error.
func TestInvalidHeadIsAResponse(t *testing.T) {
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: time.Minute}
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 A\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n"} {
		_, err := client.Get(startStore(t, head+"Connection: close\r\n\r\ntext", func(c *net.TCPConn) { _ = c.Close() })) //nolint:bodyclose // There is no response.
		assert.Error(t, err, head)
	}
}

// A response that is reset while the call is still being written must not be taken for a whole one.
func TestResponseResetUnderACallIsWhole(t *testing.T) {
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: time.Minute}
	address := startStore(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() })
	for range 60 {
		response, err := client.Post(address, "", bytes.NewReader(make([]byte, 16<<20)))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			require.NoError(t, response.Body.Close())
		}
		assert.Error(t, err)
	}
}
