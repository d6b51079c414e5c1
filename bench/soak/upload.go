package soak

import (
	"io"
	"strings"
	"time"
)

const (
	// uploadRepeats is how often a large body repeats the attempt's id, about 40 KB in all.
	uploadRepeats = 3000
	// A slow sender sends a large body in uploadChunks chunks, uploadPause apart.
	uploadChunks = 4
	uploadPause  = 60 * time.Millisecond
	// slowBodyMin is the size in bytes above which a body is sent slowly.
	slowBodyMin = 4 << 10
)

// orderBody returns the body of request i of a caller, an order. In a run with uploads every other caller sends
// large bodies.
func (s *soak) orderBody(attempt string, caller, i int) string {
	if s.isLargeUpload(i) {
		return largeUpload
	}
	if s.options.Uploads && caller%2 == 0 {
		return strings.Repeat(attempt+" ", uploadRepeats)
	}
	return "order of " + attempt
}

// slowBody is a reader that pauses for uploadPause after each chunk.
type slowBody struct {
	io.Reader
	chunk int // Size in bytes.
	left  int // Remaining bytes of the current chunk.
}

func newSlowBody(body string) *slowBody {
	chunk := len(body)/uploadChunks + 1
	return &slowBody{Reader: strings.NewReader(body), chunk: chunk, left: chunk}
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		time.Sleep(uploadPause)
		b.left = b.chunk
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
