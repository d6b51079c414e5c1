package ingress

import (
	"net"
	"time"
)

const (
	// unreadTime is how long a caller may leave a piece of its answer unread. What it
	// keeps waiting is its own answer's memory, and the node has no use for that.
	unreadTime = 10 * time.Second
	// pieceBytes is the size of a piece: a caller has to read so much in unreadTime.
	pieceBytes = 64 << 10
)

// pieceWriter writes to a caller in pieces, each of which has to be taken in time.
type pieceWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w pieceWriter) Write(p []byte) (int, error) {
	sent := 0
	for len(p) > 0 {
		piece := p[:min(len(p), pieceBytes)]
		_ = w.conn.SetWriteDeadline(time.Now().Add(unreadTime)) // Fails only on a closed connection, as the write does.
		n, err := w.conn.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
		p = p[n:]
	}
	return sent, nil
}
