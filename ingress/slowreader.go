package ingress

import (
	"net"
	"time"
)

const (
	// pieceTimeout is how long a caller may take to read a piece of its answer. The node
	// holds the answer in memory meanwhile.
	pieceTimeout = 10 * time.Second
	// pieceBytes is the size of a piece in bytes. A caller has to read so much within
	// pieceTimeout.
	pieceBytes = 64 << 10
)

// pieceWriter writes to a caller in pieces, each with its own write deadline.
type pieceWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w pieceWriter) Write(p []byte) (int, error) {
	sent := 0
	for len(p) > 0 {
		piece := p[:min(len(p), pieceBytes)]
		_ = w.conn.SetWriteDeadline(time.Now().Add(pieceTimeout)) // Fails only on a closed connection, as the write does.
		n, err := w.conn.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
		p = p[n:]
	}
	return sent, nil
}
