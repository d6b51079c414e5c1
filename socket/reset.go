package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// resetConn is a connection whose reader learns of a reset.
type resetConn struct {
	net.Conn
	tcp     syscall.RawConn
	writing sync.Mutex
	reset   bool // A write failed as the peer had reset the connection.
}

// KeepReset returns a connection whose reader gets syscall.ECONNRESET, and no plain end, if the peer has reset it. The
// system reports a reset once, to a write if one comes first, and ends the stream for the reader as if it were whole.
// A connection that is not TCP is returned as it is.
func KeepReset(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c
	}
	return &resetConn{Conn: c, tcp: raw}
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) { return c.tcp, nil }

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// A reset after the peer's end of the stream is EPIPE, and the stream is whole.
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && isClosed(c.tcp) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset reports whether a write has got a reset. A write in progress ends at once, as the connection has ended.
func (c *resetConn) wasReset() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.reset
}
