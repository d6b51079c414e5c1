// Package socket has what nodes need to know of open connections beyond net.Conn: writing to a peer that reads
// slowly, and whether a peer has what was written.
//
// # Usage
//
//	out := bufio.NewWriter(socket.PieceWriter{Conn: conn, Timeout: 10 * time.Second})
//	for socket.Unacknowledged(conn) > 0 { ... }
package socket

import (
	"net"
	"time"
)

// pieceBytes is the size of a piece in bytes.
const pieceBytes = 64 << 10

// PieceWriter writes in pieces, each with a write deadline of its own, so that a peer that reads slowly gets
// everything and one that does not read at all is given up.
type PieceWriter struct {
	Conn    net.Conn
	Timeout time.Duration // In which the peer has to make room for a piece.
}

// Write implements io.Writer.
func (w PieceWriter) Write(p []byte) (int, error) {
	sent := 0
	for len(p) > 0 {
		piece := p[:min(len(p), pieceBytes)]
		_ = w.Conn.SetWriteDeadline(time.Now().Add(w.Timeout)) // Fails only on a closed connection, as the write does.
		n, err := w.Conn.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
		p = p[n:]
	}
	return sent, nil
}
