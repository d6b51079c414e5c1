package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bodymemory"
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

// Bodies without end, or more at once than there is memory for, must not take more than the memory for answers, and
// must give it back.
func TestBodiesWithoutEndExhaustTheMemory(t *testing.T) {
	const limit = 2 << 20
	for _, head := range []string{"Connection: close\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", "Content-Length: 60000000\r\n\r\n"} {
		u := startRaw(t, func(conn *net.TCPConn, r *http.Request, _ []byte) bool {
			writeWithoutEnd(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Stamp: s\r\n"+head, "x")
			return false
		})
		client := newTestClient(u.Addr().String())
		client.memory = bodymemory.New(limit)
		var attempts sync.WaitGroup
		for i := range 8 {
			attempts.Go(func() {
				a, f := client.do(context.Background(), testContent(fmt.Sprintf("x%d", i)), testMetadata, true, noGuard{})
				if f == nil {
					assert.Len(t, a.body, 60000000)
					a.release()
				}
			})
		}
		attempts.Wait()
		assert.NoError(t, allMemoryIsFree(client.memory), head)
	}
}

// allMemoryIsFree returns an error if some memory is reserved.
func allMemoryIsFree(m *bodymemory.Memory) error {
	r := m.Reservation()
	defer r.Release()
	_, err := io.CopyN(io.Discard, r.Reader(neverEnds{}), m.Limit())
	return err
}

// neverEnds is a reader without end.
type neverEnds struct{}

func (neverEnds) Read(p []byte) (int, error) { return len(p), nil }

// An answer without a length that is larger than the memory for answers must be refused, and one with a length be read.
func TestAnswerWithoutLengthTakesAllMemory(t *testing.T) {
	const limit = 1 << 20
	for head, outcome := range map[string]string{"Connection: close\r\n\r\n": "broken", "Content-Length: 1572864\r\n\r\n": ""} {
		u := startRaw(t, func(conn *net.TCPConn, r *http.Request, _ []byte) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Stamp: s\r\n"+head+strings.Repeat("x", limit*3/2))
			_ = conn.Close()
			return false
		})
		client := newTestClient(u.Addr().String())
		client.memory = bodymemory.New(limit)
		a, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
		if outcome == "" {
			require.Nil(t, f)
			assert.Len(t, a.body, limit*3/2)
			a.release()
		} else {
			require.NotNil(t, f)
			assert.Equal(t, outcome, outcomeNames[f.outcome])
		}
		assert.NoError(t, allMemoryIsFree(client.memory), head)
	}
}
