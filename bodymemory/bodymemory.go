// Package bodymemory bounds the memory that the bodies of messages take.
//
// A node holds bodies whole, and holds them in many places: while they are read, queued for another node, kept for a
// broken link or written to a slow peer. The buffers of all of them come from one Memory, which counts a buffer until
// the garbage collector has freed it. So no place has to give memory back, and none can forget to.
//
// Work that ends frees memory, and work that begins takes some. Requests therefore get only a part of the memory, and
// the rest is left for the answers to those that have run.
//
// # Usage
//
//	memory := bodymemory.New(64 << 20)
//	body, err := memory.ReadAll(bodymemory.CallerRequest, connection, length) // ErrNone if there is no memory.
//	buffer, err := memory.Make(bodymemory.Answer, bytes, 100*time.Millisecond)
package bodymemory

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// SmallBytes is the size up to which a buffer is not counted: the buffers of its connection are as large.
	SmallBytes = 4 << 10
	// collectInterval is the shortest time between two garbage collections that lack of memory causes, and collectRest
	// how many times as long as the last one took it is at least.
	collectInterval = 50 * time.Millisecond
	collectRest     = 4
	// retryInterval is how often a buffer that waits for memory tries again.
	retryInterval = 5 * time.Millisecond
)

// ErrNone is returned when there is no memory for a body.
var ErrNone = errors.New("no memory for the body")

// Use is what a buffer is for.
type Use uint8

// Uses, by how much of the memory they may fill.
const (
	CallerRequest    Use = iota // A request that a caller sends to this node.
	ForwardedRequest            // A request that another node has accepted, for the upstream beside this one.
	Answer                      // An answer to a request that has run.
)

// The parts of the memory that uses may fill together with those before them, in quarters.
const (
	quarters        = 4
	callerQuarters  = 2
	forwardQuarters = 3
)

// Memory limits the memory that bodies take together. It is safe for concurrent use.
type Memory struct {
	limit      int64
	held       atomic.Int64
	peak       atomic.Int64
	refused    atomic.Int64
	collecting sync.Mutex
	// collectAt is when lack of memory may cause the next garbage collection.
	collectAt time.Time
}

// New returns a Memory with a limit in bytes.
func New(limit int64) *Memory { return &Memory{limit: limit} }

// Limit returns how many bytes the buffers of a use may fill, together with those of the uses before it.
func (m *Memory) Limit(u Use) int64 {
	switch u {
	case CallerRequest:
		return m.limit / quarters * callerQuarters
	case ForwardedRequest:
		return m.limit / quarters * forwardQuarters
	default:
		return m.limit
	}
}

// State is what a Memory has counted, for logs.
type State struct {
	Limit   int64 `json:"limit"`   // In bytes.
	Held    int64 `json:"held"`    // Bytes of all buffers, with those that wait for the garbage collector.
	Peak    int64 `json:"peak"`    // The most bytes that were held so far.
	Refused int64 `json:"refused"` // Buffers for which there was no memory.
}

// State returns what was counted so far.
func (m *Memory) State() State {
	return State{Limit: m.limit, Held: m.held.Load(), Peak: m.peak.Load(), Refused: m.refused.Load()}
}

// Make returns a buffer of n bytes. It waits for memory for at most the given time and then returns ErrNone, at once if
// the buffer can never be had.
func (m *Memory) Make(u Use, n int, wait time.Duration) ([]byte, error) {
	if n <= SmallBytes {
		return make([]byte, n), nil
	}
	if int64(n) > m.Limit(u) || !m.await(u, int64(n), time.Now().Add(wait)) {
		m.refused.Add(1)
		return nil, errors.WithStack(ErrNone)
	}
	buffer := make([]byte, n)
	runtime.AddCleanup(&buffer[0], m.free, int64(n))
	return buffer, nil
}

// await reserves n bytes, and reports whether they were free before a time.
func (m *Memory) await(u Use, n int64, until time.Time) bool {
	for !m.reserve(u, n) {
		if !time.Now().Before(until) {
			return false
		}
		m.collect()
		time.Sleep(retryInterval)
	}
	return true
}

// reserve reserves n bytes if they are free.
func (m *Memory) reserve(u Use, n int64) bool {
	for {
		held := m.held.Load()
		if held+n > m.Limit(u) {
			return false
		}
		if m.held.CompareAndSwap(held, held+n) {
			m.notePeak(held + n)
			return true
		}
	}
}

func (m *Memory) notePeak(held int64) {
	for {
		peak := m.peak.Load()
		if held <= peak || m.peak.CompareAndSwap(peak, held) {
			return
		}
	}
}

// free counts a buffer of n bytes as freed.
func (m *Memory) free(n int64) { m.held.Add(-n) }

// collect runs the garbage collector, unless that was done a moment ago.
func (m *Memory) collect() {
	m.collecting.Lock()
	defer m.collecting.Unlock()
	if time.Now().Before(m.collectAt) {
		return
	}
	began := time.Now()
	runtime.GC()
	ended := time.Now()
	m.collectAt = ended.Add(max(collectInterval, collectRest*ended.Sub(began)))
}
