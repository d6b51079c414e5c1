package soak

import (
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout is the timeout of a caller for a new connection.
	dialTimeout = time.Second
	// closeAfter is how long after SIGTERM a node may close its listener, at the earliest: half
	// of its grace time at most, or as long as the platform needs to move callers away.
	closeAfter = stopGrace / 2
	// closeMargin is how much earlier the listener may close as seen by this process.
	closeMargin = 50 * time.Millisecond
)

// stops records when planned stops may have closed a node's listener. A dial at that
// moment may be lost silently: the kernel looks up the listener, finds that it refuses
// connections or is closed, and drops the SYN, which the dialing side retransmits a second
// later. See BenchmarkDialsAtAClosingListener in package listener.
type stops struct {
	mu      sync.Mutex
	windows []closeWindow
}

// closeWindow is a time in which the listener may have been closed.
type closeWindow struct {
	from time.Time
	to   time.Time // When the next process was started; zero until then.
}

// begin records a SIGTERM.
func (s *stops) begin(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.windows = append(s.windows, closeWindow{from: at.Add(closeAfter - closeMargin)})
}

// end records the start of the next process, whatever stopped the previous one.
func (s *stops) end(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := len(s.windows) - 1; last >= 0 && s.windows[last].to.IsZero() {
		s.windows[last].to = at
	}
}

// overlaps reports whether a dial that began at dialStart and timed out may have reached
// a closing listener. Only the start counts, because the first packet is the one lost.
func (s *stops) overlaps(dialStart time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.windows, func(o closeWindow) bool {
		return !dialStart.Before(o.from) && (o.to.IsZero() || !dialStart.After(o.to))
	})
}
