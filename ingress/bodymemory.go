package ingress

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// reserveTimeout is how long a body waits, unread, for memory. Backpressure on the
	// connection holds up its caller meanwhile; after that, another node may have memory.
	reserveTimeout = 500 * time.Millisecond
	// reserveStep is how many bytes are reserved at a time while a body is read.
	reserveStep = 64 << 10
)

// errNoMemory reports that there is no memory for a body.
var errNoMemory = errors.New("no memory for the body")

// bodyMemory limits the memory that request bodies take. Bodies are read whole before a
// gate is asked for a slot, so that a slow sender holds no slot; without a limit, many
// large bodies at once would exhaust the process's memory.
type bodyMemory struct {
	bytes *semaphore.Weighted
	limit int64
}

func newBodyMemory(limit int64) *bodyMemory {
	return &bodyMemory{bytes: semaphore.NewWeighted(limit), limit: limit}
}

// reservation is the memory that one body holds.
type reservation struct {
	memory *bodyMemory
	held   int64
}

// reserve reserves more bytes, waiting for at most reserveTimeout. A body larger than the
// limit gets all of the memory, alone.
func (s *reservation) reserve(bytes int64) error {
	bytes = min(bytes, s.memory.limit-s.held)
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	if s.memory.bytes.Acquire(ctx, bytes) != nil {
		return errNoMemory
	}
	s.held += bytes
	return nil
}

// release frees the reserved memory.
func (s *reservation) release() {
	s.memory.bytes.Release(s.held)
	s.held = 0
}

// reservingReader reserves memory for what it reads, reserveStep bytes at a time.
type reservingReader struct {
	from        io.Reader
	reservation *reservation
	left        int64 // Reserved bytes that are not read yet.
}

// Read implements io.Reader. It returns errNoMemory if no memory can be reserved.
func (r *reservingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.reservation.reserve(reserveStep); err != nil {
			return 0, err
		}
		r.left = reserveStep
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
