package soak

import (
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout is how long a caller waits for a new connection.
	dialTimeout = time.Second
	// closeAfter is how long after SIGTERM a node closes its listener: half of its grace
	// time at the most, or as long as the platform needs to move callers away.
	closeAfter = stopGrace / 2
	// signalTime is how long before that the listener may be closed, as seen from here.
	signalTime = 50 * time.Millisecond
)

// stops tells when a node's listener was closed by a planned stop. A dial that meets that
// moment may be lost without a word: the kernel has found the listener, finds it closed, and
// drops the packet, which the dialing side sends again a second later
// (BenchmarkDialsAtAClosingListener: 3 of 1.1 million dials, none where it stays open).
type stops struct {
	mu   sync.Mutex
	list []stop
}

// stop is when the listener may have been closed.
type stop struct {
	from time.Time
	to   time.Time // When the next process had been started; the zero time until it has.
}

// begin takes note of a SIGTERM.
func (s *stops) begin(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, stop{from: at.Add(closeAfter - signalTime)})
}

// end takes note of the next process, after whatever end.
func (s *stops) end(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := len(s.list) - 1; last >= 0 && s.list[last].to.IsZero() {
		s.list[last].to = at
	}
}

// met tells whether a dial that began then, and timed out, may have met a listener that was
// being closed. It is the first packet that is lost, so its later time does not count.
func (s *stops) met(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(o stop) bool {
		return !began.Before(o.from) && (o.to.IsZero() || !began.After(o.to))
	})
}
