//go:build !linux

package socket

import "net"

// Unacknowledged returns 0: the number is unknown.
func Unacknowledged(net.Conn) int { return 0 }
