package gate

import (
	"net"
	"syscall"
)

// quiet tells whether an idle connection is open and has nothing to read. What
// could be read would be the end of the connection or an answer to nobody.
func quiet(c *upstreamConn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
