package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// unread returns how many bytes have arrived and are not read.
func unread(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	n := 0
	require.NoError(t, raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
	require.NoError(t, err)
	return n
}

// A connection that was read fast must not keep megabytes once nobody reads it any more.
func TestUnreadBytesGrow(t *testing.T) {
	a, b := pair(t)
	LimitUnread(b)
	go func() {
		for piece := make([]byte, 1<<20); ; {
			if _, err := a.Write(piece); err != nil {
				return
			}
		}
	}()
	_, err := io.CopyN(io.Discard, b, 256<<20)
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	assert.Positive(t, unread(t, b))
	assert.LessOrEqual(t, unread(t, b), 2*unreadBytes) // The system takes twice the number for its own needs.
}
