package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes were written to a connection and not acknowledged by the peer's system; 0 if
// that is unknown. When the process ends, the system goes on sending them, but drops them once the peer sends more.
func Unacknowledged(c net.Conn) int {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}
