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
	"eiderfold/link"
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

// Bodies without end, or more at once than there is memory for, must not take more than the memory for bodies, and
// must give it back.
func TestBodiesWithoutEndExhaustTheMemory(t *testing.T) {
	const limit = 2 << 20
	for _, head := range []string{"Connection: close\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", "Content-Length: 60000000\r\n\r\n", "Content-Length: 1500000\r\n\r\n"} {
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
					assert.Len(t, a.body, 1500000)
				}
			})
		}
		attempts.Wait()
		assert.LessOrEqual(t, client.memory.State().Peak, int64(limit), head)
		assert.NoError(t, allMemoryIsFree(client.memory), head)
	}
}

// allMemoryIsFree returns an error if buffers that nobody uses stay counted.
func allMemoryIsFree(m *bodymemory.Memory) error {
	_, err := m.Make(bodymemory.Answer, int(m.Limit(bodymemory.Answer)), 10*time.Second)
	return err
}

// An answer whose head shows that it is of no use must not be read, whatever length it announces.
func TestUselessAnswerIsRead(t *testing.T) {
	for _, head := range []string{"", "Attempt-Id: {id}\r\n", "Attempt-Id: {id}\r\nResponse-Stamp: s\r\nContent-Encoding: gzip\r\n"} {
		written := make(chan int, 1)
		u := startRaw(t, func(conn *net.TCPConn, r *http.Request, _ []byte) bool {
			written <- writeWithoutEnd(conn, "HTTP/1.1 200 OK\r\n"+strings.ReplaceAll(head, "{id}", r.Header.Get("Attempt-Id"))+"Content-Length: 60000000\r\n\r\n", "x")
			return false
		})
		client := newTestClient(u.Addr().String())
		_, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
		require.NotNil(t, f)
		assert.Equal(t, Broken, f.outcome, f.detail)
		assert.Zero(t, client.memory.State().Peak)
		assert.LessOrEqual(t, <-written, socketBytes)
	}
}

// An answer that is larger than the memory must be refused at once, and be evidence against its upstream only if nothing
// shows that it ends.
func TestAnswerLargerThanTheMemoryIsRead(t *testing.T) {
	const limit = 1 << 20
	for head, outcome := range map[string]Outcome{"Connection: close\r\n\r\n": Broken, "Content-Length: 1572864\r\n\r\n": NoEvidence} {
		u := startRaw(t, func(conn *net.TCPConn, r *http.Request, _ []byte) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Stamp: s\r\n"+head+strings.Repeat("x", limit*3/2))
			_ = conn.Close()
			return false
		})
		client := newTestClient(u.Addr().String())
		client.memory = bodymemory.New(limit)
		_, f := client.do(context.Background(), testContent("x1"), testMetadata, true, noGuard{})
		require.NotNil(t, f)
		assert.Equal(t, outcome, f.outcome, f.detail)
		assert.LessOrEqual(t, client.memory.State().Peak, int64(limit), head)
		assert.NoError(t, allMemoryIsFree(client.memory), head)
	}
}

// Answers that are kept for a broken link must not fill the memory of new ones: the oldest are dropped, and said to be
// of unknown end.
func TestKeptAnswersFillTheMemory(t *testing.T) {
	const answerBytes, kept = 1000, 3
	now := time.Now()
	k := newKeptResults(kept*answerBytes + answerBytes/2)
	for i := range 10 {
		key := link.Key{Number: uint64(i)}
		k.put(key, &link.Frame{Answer: &link.Answer{Key: key, Status: 200, Body: make([]byte, answerBytes)}}, now.Add(time.Duration(i)))
	}
	for i := range 10 {
		key := link.Key{Number: uint64(i)}
		frame, ok := k.get(key)
		require.True(t, ok)
		if i < 10-kept {
			assert.Equal(t, noLongerKept(key), frame)
		} else {
			assert.Len(t, frame.Answer.Body, answerBytes)
		}
	}
	expired := 0
	k.expire(now.Add(2*answerRetention), func(link.Key) { expired++ })
	assert.Equal(t, 10, expired)
	assert.Zero(t, k.bodyBytes)
}
