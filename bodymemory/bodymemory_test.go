package bodymemory

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	megabyte = 1 << 20
	// patience is how long a test waits for the garbage collector.
	patience = 10 * time.Second
)

// Buffers that nobody uses any more must not be counted for good.
func TestFreedBuffersAreCounted(t *testing.T) {
	m := New(4 * megabyte)
	for range 50 {
		b, err := m.Make(Answer, 3*megabyte, patience)
		require.NoError(t, err)
		assert.Len(t, b, 3*megabyte)
	}
	assert.LessOrEqual(t, m.State().Peak, int64(4*megabyte))
}

// Buffers that are in use must be counted, however often garbage is collected.
func TestBuffersInUseAreNotCounted(t *testing.T) {
	m := New(4 * megabyte)
	b, err := m.Make(Answer, 3*megabyte, 0)
	require.NoError(t, err)
	_, err = m.Make(Answer, 2*megabyte, 100*time.Millisecond)
	assert.ErrorIs(t, err, ErrNone)
	assert.EqualValues(t, 3*megabyte, m.State().Held)
	runtime.KeepAlive(b)
}

// Requests must leave memory for the answers to those that have run, and new requests for those that another node has
// accepted.
func TestRequestsTakeTheMemoryOfAnswers(t *testing.T) {
	m := New(4 * megabyte)
	var held [][]byte
	fill := func(u Use) {
		for {
			b, err := m.Make(u, megabyte/2, 0)
			if err != nil {
				return
			}
			held = append(held, b)
		}
	}
	fill(CallerRequest)
	assert.EqualValues(t, 2*megabyte, m.State().Held)
	fill(ForwardedRequest)
	assert.EqualValues(t, 3*megabyte, m.State().Held)
	fill(Answer)
	assert.EqualValues(t, 4*megabyte, m.State().Held)
	runtime.KeepAlive(held)
}

// A body that can't fit must be refused without being read, and one without end once it has taken what it may.
func TestBodyLargerThanTheMemoryIsRead(t *testing.T) {
	m := New(4 * megabyte)
	from := &countingReader{from: neverEnds{}}
	_, err := m.ReadAll(CallerRequest, from, 60*megabyte)
	assert.ErrorIs(t, err, ErrNone)
	assert.Zero(t, from.read)
	_, err = m.ReadAll(CallerRequest, from, UnknownLength)
	assert.ErrorIs(t, err, ErrNone)
	assert.LessOrEqual(t, m.State().Peak, m.Limit(CallerRequest))
}

// A body that fits must be read whole, with or without its length.
func TestBodyThatFitsIsRefused(t *testing.T) {
	m := New(4 * megabyte)
	for _, n := range []int{0, 1, SmallBytes - 1, SmallBytes, SmallBytes + 1, 300_000, int(m.UnannouncedLimit(CallerRequest))} {
		text := bytes.Repeat([]byte("0123456789"), n/10+1)[:n]
		for _, length := range []int64{int64(n), UnknownLength} {
			require.True(t, m.Fits(CallerRequest, length))
			got, err := m.ReadAll(CallerRequest, iotest.OneByteReader(bytes.NewReader(text)), length)
			require.NoError(t, err, "%d of %d", n, length)
			assert.True(t, bytes.Equal(text, got), n)
		}
	}
}

// A body that breaks off must not be taken for a whole one.
func TestBodyThatBreaksOffIsWhole(t *testing.T) {
	m := New(4 * megabyte)
	for _, n := range []int{0, 10, SmallBytes, 20_000} {
		for _, broken := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
			got, err := m.ReadAll(Answer, io.MultiReader(strings.NewReader(strings.Repeat("x", n)), iotest.ErrReader(broken)), UnknownLength)
			assert.ErrorIs(t, err, broken)
			assert.Len(t, got, n)
		}
	}
}

// Many bodies at once must stay within the memory together, and give it back.
func TestManyBodiesExceedTheMemory(t *testing.T) {
	m := New(4 * megabyte)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() { _, _ = m.ReadAll(Answer, io.LimitReader(neverEnds{}, megabyte), megabyte) })
	}
	group.Wait()
	assert.LessOrEqual(t, m.State().Peak, int64(4*megabyte))
	assert.Positive(t, m.State().Peak)
	_, err := m.Make(Answer, 4*megabyte, patience)
	assert.NoError(t, err)
}

// neverEnds is a reader without end.
type neverEnds struct{}

func (neverEnds) Read(p []byte) (int, error) { return len(p), nil }

type countingReader struct {
	from io.Reader
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read += n
	return n, err
}
