package socket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	plays     = 60
	partBytes = 2000
	longWrite = 16 << 20
)

// writeAndRead writes a long text to a peer, and returns what can be read meanwhile.
func writeAndRead(t *testing.T, peer func(*net.TCPConn)) (int, error) {
	t.Helper()
	a, b := pair(t)
	c := KeepReset(a)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, longWrite)) // It fails.
	}()
	go peer(b.(*net.TCPConn))
	text, err := io.ReadAll(c)
	_ = c.Close()
	<-written
	return len(text), err
}

// A stream that the peer resets under a write must not look whole.
func TestResetUnderAWriteIsAnEnd(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":              func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
		"close":              func(c *net.TCPConn) { _ = c.Close() },
		"close after a read": func(c *net.TCPConn) { _, _ = io.ReadFull(c, make([]byte, 1<<20)); _ = c.Close() },
		"reset later":        func(c *net.TCPConn) { time.Sleep(time.Millisecond); _, _ = c.SetLinger(0), c.Close() },
	} {
		for range plays {
			_, err := writeAndRead(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1))
				_, _ = c.Write(make([]byte, partBytes))
				end(c)
			})
			assert.ErrorIs(t, err, syscall.ECONNRESET, name)
		}
	}
}

// A stream that the peer has ended must look whole, although it resets the rest of a write later, or reads on.
func TestEndUnderAWriteIsAReset(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closes later": func(c *net.TCPConn) { time.Sleep(time.Millisecond); _ = c.Close() },
		"closes":       func(c *net.TCPConn) { _ = c.Close() },
		"resets":       func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
		"reads on":     func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
	} {
		for range plays {
			n, err := writeAndRead(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1))
				_, _ = c.Write(make([]byte, partBytes))
				_ = c.CloseWrite()
				end(c)
			})
			assert.NoError(t, err, name)
			assert.Equal(t, partBytes, n, name)
		}
	}
}

// A connection that ends while nothing is written must end as before.
func TestQuietEndIsAReset(t *testing.T) {
	a, b := pair(t)
	_, err := b.Write([]byte("text"))
	require.NoError(t, err)
	require.NoError(t, b.Close())
	text, err := io.ReadAll(KeepReset(a))
	require.NoError(t, err)
	assert.Equal(t, "text", string(text))
}
