package socket

import "net"

// unreadBytes is how many bytes may wait to be read, about: what arrives within some round trips between data centres.
const unreadBytes = 256 << 10

// LimitUnread bounds the bytes that have arrived on a TCP connection and are not read yet. They count as memory of the
// process, and the system by itself lets them grow to many megabytes on a connection that was read fast before.
func LimitUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(unreadBytes) // Fails only on a closed connection.
	}
}
