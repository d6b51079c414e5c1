package listener

import (
	"math"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// noInterface is an interface index that no interface has.
const noInterface = math.MaxInt32

// refuse makes the kernel refuse connections that are not being established yet. It binds the
// socket to an interface that doesn't exist, so that no further SYN finds it, while handshakes in
// progress keep it. Linux allows that without privileges since 5.7.
func refuse(l *net.TCPListener) error {
	return control(l, func(fd int) error {
		return errors.Wrap(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface), "bind to no interface")
	})
}

// queued returns how many connections are established and not accepted; -1 if unknown.
func queued(l *net.TCPListener) int {
	length := -1
	_ = control(l, func(fd int) error { // An error leaves it unknown.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			length = int(info.Unacked) // For a listening socket, the length of its accept queue.
		}
		return err
	})
	return length
}

// control runs f with the socket's descriptor.
func control(l *net.TCPListener, f func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "descriptor")
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return errors.Wrap(err, "descriptor")
	}
	return failed
}
