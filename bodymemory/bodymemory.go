// Package bodymemory bounds the memory that bodies of messages take.
//
// Bodies are read whole before they are passed on, so that a slow sender holds nothing but its connection;
// without a limit, many large bodies at once would exhaust the process's memory. Memory is reserved as
// bytes arrive, so that a slow sender holds none for bytes that it has not sent.
//
// # Usage
//
//	memory := bodymemory.New(16 << 20)
//	r := memory.Reservation()
//	defer r.Release()                             // Once the body is not used any more.
//	body, err := io.ReadAll(r.Reader(connection)) // ErrNone if there is no memory.
package bodymemory

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// reserveTimeout is how long a body waits, unread, for memory. Backpressure on the
	// connection holds up its sender meanwhile.
	reserveTimeout = 500 * time.Millisecond
	// Step is how many bytes are reserved at a time while a body is read.
	Step = 64 << 10
)

// ErrNone is returned when there is no memory for a body.
var ErrNone = errors.New("no memory for the body")

// Memory limits the memory that bodies take together. It is safe for concurrent use.
type Memory struct {
	bytes *semaphore.Weighted
	limit int64
}

// New returns a Memory with a limit in bytes.
func New(limit int64) *Memory {
	return &Memory{bytes: semaphore.NewWeighted(limit), limit: limit}
}

// Limit returns the limit in bytes.
func (m *Memory) Limit() int64 { return m.limit }

// Reservation returns the reservation of a body, which holds nothing yet.
func (m *Memory) Reservation() *Reservation { return &Reservation{memory: m} }

// Reservation is the memory that one body holds.
type Reservation struct {
	memory *Memory
	held   int64
}

// reserve reserves more bytes, waiting for at most reserveTimeout. A body larger than the
// limit gets all of the memory, alone.
func (r *Reservation) reserve(bytes int64) error {
	bytes = min(bytes, r.memory.limit-r.held)
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	if r.memory.bytes.Acquire(ctx, bytes) != nil {
		return ErrNone
	}
	r.held += bytes
	return nil
}

// Release frees the reserved memory.
func (r *Reservation) Release() {
	r.memory.bytes.Release(r.held)
	r.held = 0
}

// Reader returns a reader that reserves memory for what it reads, Step bytes at a time. Its Read returns
// ErrNone if no memory can be reserved.
func (r *Reservation) Reader(from io.Reader) io.Reader { return &reader{from: from, reservation: r} }

type reader struct {
	from        io.Reader
	reservation *Reservation
	left        int64 // Reserved bytes that are not read yet.
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.reservation.reserve(Step); err != nil {
			return 0, err
		}
		r.left = Step
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
