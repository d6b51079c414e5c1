package bodymemory

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// readTimeout is how long a body waits, unread, for memory. Backpressure on the
	// connection holds up its sender meanwhile.
	readTimeout = 500 * time.Millisecond
	// The buffer of a body grows by announcedGrowth if its length is known, and by unknownGrowth if not: a sender
	// holds no more than that many times what it has sent.
	announcedGrowth = 8
	unknownGrowth   = 2
	// UnknownLength stands for the length of a body that is not announced.
	UnknownLength = -1
)

// Fits reports whether a body of n bytes can be read while nothing else is held.
func (m *Memory) Fits(u Use, n int64) bool {
	return n <= SmallBytes || n+n/announcedGrowth+SmallBytes <= m.Limit(u)
}

// UnannouncedLimit returns how many bytes a body without an announced length may have: nothing shows that it ends.
func (m *Memory) UnannouncedLimit(u Use) int64 { return m.Limit(u) / (1 + unknownGrowth) }

// ReadAll reads to the end and returns what it has read, also with an error. The length is the one that is announced,
// or UnknownLength. It returns ErrNone at once for a body that does not fit, and otherwise if no memory is free in time.
func (m *Memory) ReadAll(u Use, from io.Reader, length int64) ([]byte, error) {
	if !m.Fits(u, length) {
		m.refused.Add(1)
		return nil, errors.WithStack(ErrNone)
	}
	body := make([]byte, firstSize(length))
	for n := 0; ; n++ {
		more, err := fill(from, body[n:])
		n += more
		if err != nil {
			return body[:n:n], endOf(err)
		}
		var next [1]byte
		if _, err := fill(from, next[:]); err != nil {
			return body, endOf(err) // An end is only seen by reading on.
		}
		larger, err := m.Make(u, nextSize(n, length), readTimeout)
		if err != nil {
			return body, err
		}
		larger[copy(larger, body)] = next[0]
		body = larger
	}
}

// fill reads until p is full or an error occurs. Unlike io.ReadFull it returns the reader's own error, which tells a
// body that ends from one that breaks off.
func fill(from io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		more, err := from.Read(p[n:])
		n += more
		if err != nil && n < len(p) {
			return n, err
		}
	}
	return n, nil
}

// endOf returns nil for the error that marks the end of a body.
func endOf(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// firstSize returns the size of a body's first buffer.
func firstSize(length int64) int {
	if length < 0 || length > SmallBytes {
		return SmallBytes
	}
	return int(length)
}

// nextSize returns the size of the buffer after a full one of n bytes.
func nextSize(n int, length int64) int {
	if length <= int64(n) {
		return max(n*unknownGrowth, SmallBytes)
	}
	size := int64(n) * announcedGrowth
	if 2*size >= length {
		return int(length)
	}
	return int(size)
}
