package gate

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeWithoutEnd writes what begins an answer and then the same text again and again until the peer closes, and
// returns how many bytes were written.
func writeWithoutEnd(c *net.TCPConn, begin, again string) (written int) {
	defer c.Close() //nolint:errcheck // Nothing more is sent.
	piece := []byte(begin)
	for {
		n, err := c.Write(piece)
		written += n
		if err != nil {
			return written
		}
		piece = []byte(strings.Repeat(again, 1+(4<<10)/len(again)))
	}
}

// socketBytes is how much the sockets of both ends may hold of what is written and not read.
const socketBytes = 16 << 20

// An upstream that writes without end must not take more memory than the largest answer: its connection is closed at
// once.
func TestAnswerWithoutEndIsReadUntilTheDeadline(t *testing.T) {
	for _, c := range []struct{ name, begin, again string }{
		{"a line of the head", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"fields of the head", "HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"no answer", "", "x"},
		{"no answer, in lines", "", "x\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			written := make(chan int, 1)
			u := startRaw(t, func(conn *net.TCPConn, _ *http.Request, _ []byte) bool {
				written <- writeWithoutEnd(conn, c.begin, c.again)
				return false
			})
			client := newTestClient(u.Addr().String())
			metadata := testMetadata
			metadata.TimeLeft = time.Minute
			_, f := client.do(context.Background(), testContent("x1"), metadata, true, noGuard{})
			require.NotNil(t, f)
			assert.Equal(t, Broken, f.outcome, f.detail)
			assert.LessOrEqual(t, <-written, maxHeadBytes+socketBytes)
		})
	}
}

// A health check must not read an answer without end either.
func TestHealthAnswerWithoutEndIsRead(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n"} {
		written := make(chan int, 1)
		u := startRaw(t, func(conn *net.TCPConn, _ *http.Request, _ []byte) bool {
			written <- writeWithoutEnd(conn, begin, "x")
			return false
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		_, err := newTestClient(u.Addr().String()).checkHealth(ctx, "/health")
		cancel()
		require.Error(t, err)
		assert.LessOrEqual(t, <-written, maxHeadBytes+socketBytes)
	}
}
