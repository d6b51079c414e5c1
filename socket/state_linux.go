package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is Linux's TCP_CLOSE, which package unix lacks: a connection that was reset, or that both sides have ended.
const stateClosed = 7

// isClosed reports whether a TCP connection has ended in both directions.
func isClosed(c syscall.RawConn) bool {
	closed := true
	err := c.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			closed = info.State == stateClosed
		}
	})
	return err != nil || closed
}
