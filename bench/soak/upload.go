package soak

import (
	"io"
	"strings"
	"time"
)

const (
	// uploadRepeats makes a body of some 40 KB of an attempt's name.
	uploadRepeats = 3000
	// uploadPieces is in how many pieces a slow sender sends it, uploadPause apart.
	uploadPieces = 4
	uploadPause  = 60 * time.Millisecond
	// pacedFrom is from what size on a body is sent so, in chunks.
	pacedFrom = 4 << 10
)

// orderBody is what an order sends: in a run with uploads every other caller's are large.
func (s *soak) orderBody(attempt string, caller int) string {
	if s.options.Uploads && caller%2 == 0 {
		return strings.Repeat(attempt+" ", uploadRepeats)
	}
	return "order of " + attempt
}

// slowBody reads a body in pieces, with a pause between them.
type slowBody struct {
	io.Reader
	piece int
	left  int // Of the piece.
}

func newSlowBody(body string) *slowBody {
	piece := len(body)/uploadPieces + 1
	return &slowBody{Reader: strings.NewReader(body), piece: piece, left: piece}
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		time.Sleep(uploadPause)
		b.left = b.piece
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
