//go:build !linux

package listener

import (
	"net"

	"github.com/pkg/errors"
)

// refuse returns an error: the system can't refuse new connections on an open listener.
func refuse(*net.TCPListener) error { return errors.New("not supported on this system") }

// queued returns -1: the length of the accept queue is unknown.
func queued(*net.TCPListener) int { return -1 }
