package socket

import (
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // The test needs one connection only.
	a, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	b, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

// Bytes that wait in the sockets must count as unacknowledged until the peer reads.
func TestUnacknowledged(t *testing.T) {
	a, b := pair(t)
	assert.Zero(t, Unacknowledged(a))
	_, err := PieceWriter{Conn: a, Timeout: 50 * time.Millisecond}.Write(make([]byte, 32<<20))
	require.Error(t, err, "more bytes written than the sockets hold")
	assert.Positive(t, Unacknowledged(a))
	go io.Copy(io.Discard, b) //nolint:errcheck // It ends with the test.
	assert.Eventually(t, func() bool { return Unacknowledged(a) == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a peer that does not read holding the connection forever: a piece that is not read within the timeout
// ends the write.
func TestUnreadPieceEndsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, node := net.Pipe()
		w := PieceWriter{Conn: node, Timeout: time.Second}
		go func() {
			time.Sleep(w.Timeout / 2)
			_, _ = io.ReadFull(peer, make([]byte, 3*pieceBytes/2))
		}()
		n, err := w.Write(make([]byte, 2*pieceBytes))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Less(t, n, 2*pieceBytes)
		assert.GreaterOrEqual(t, n, pieceBytes)
	})
}

// A peer that reads each piece in time must get everything, however long that takes as a whole.
func TestSlowReaderGetsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, node := net.Pipe()
		w := PieceWriter{Conn: node, Timeout: time.Second}
		const pieces = 5
		go func() {
			for range pieces {
				time.Sleep(w.Timeout * 9 / 10)
				_, _ = io.ReadFull(peer, make([]byte, pieceBytes))
			}
		}()
		n, err := w.Write(make([]byte, pieces*pieceBytes))
		require.NoError(t, err)
		assert.Equal(t, pieces*pieceBytes, n)
	})
}
