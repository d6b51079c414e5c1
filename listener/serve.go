package listener

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the pause after a failed accept, for instance when file descriptors are exhausted.
const acceptPause = 20 * time.Millisecond

// Serve passes each connection of a listener to serve, one after the other, until the listener is
// closed.
func Serve(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			serve(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptPause)
		}
	}
}
