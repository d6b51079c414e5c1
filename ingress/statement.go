package ingress

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"eiderfold/link"
	"eiderfold/port"
)

const (
	// maxLimits bounds how many upstreams' limits are kept: few name one at a time.
	maxLimits = 1024
	// leavingRetention is for how long an upstream is known to leave: far longer than it lives
	// after it has said so.
	leavingRetention = 10 * time.Minute
)

// statements holds what upstreams have said of themselves in answers to this node, or in reports to the
// gates beside them, by incarnation. The gates act on it. This node keeps it because a gate's process may be replaced.
type statements struct {
	mu      sync.Mutex // Held by writers.
	limits  map[port.Incarnation]heardLimit
	leaving atomic.Pointer[map[port.Incarnation]time.Time] // When this node first heard so; replaced by modified copies.
}

// heardLimit is the limit that an upstream last named.
type heardLimit struct {
	rate float64 // Requests per second.
	at   time.Time
}

// note records what an answer of an upstream says.
func (s *statements) note(upstream port.Incarnation, said port.Statement, now time.Time) {
	if upstream.ID == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if said.Leaving {
		s.noteLeaving(upstream, now)
	}
	switch limit := said.KnownLimit(); limit.State {
	case port.LimitNamed:
		s.noteLimit(upstream, heardLimit{rate: limit.Rate, at: now})
	case port.LimitNone:
		delete(s.limits, upstream)
	}
}

// noteStatus records that an upstream leaves by the status of its gate.
func (s *statements) noteStatus(gate link.Status, now time.Time) {
	if !gate.Leaving || s.leaves(gate) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLeaving(incarnationOf(gate), now)
}

// LeavingNotice returns the notice for a gate whose last status this is, nil if its upstream is not known to
// leave.
func (f *Forwarder) LeavingNotice(gate link.Status) *link.LeavingNotice {
	if gate.Upstream == "" || !f.endpoints.statements.leaves(gate) {
		return nil
	}
	return &link.LeavingNotice{Upstream: gate.Upstream, StartedAt: gate.StartedAt}
}

// noteLimit records a limit and evicts the oldest one if there are too many. The lock must be held.
func (s *statements) noteLimit(upstream port.Incarnation, l heardLimit) {
	if s.limits == nil {
		s.limits = map[port.Incarnation]heardLimit{}
	}
	s.limits[upstream] = l
	if len(s.limits) <= maxLimits {
		return
	}
	oldest := upstream
	for u, other := range s.limits {
		if other.at.Before(s.limits[oldest].at) {
			oldest = u
		}
	}
	delete(s.limits, oldest)
}

// noteLeaving records that an upstream leaves, and drops those that have ended. The lock must be
// held.
func (s *statements) noteLeaving(upstream port.Incarnation, now time.Time) {
	next := map[port.Incarnation]time.Time{}
	if old := s.leaving.Load(); old != nil {
		if _, known := (*old)[upstream]; known {
			return
		}
		maps.Copy(next, *old)
		maps.DeleteFunc(next, func(_ port.Incarnation, at time.Time) bool { return now.Sub(at) > leavingRetention })
	}
	next[upstream] = now
	s.leaving.Store(&next)
}

// leaves reports whether the upstream beside a gate is known to leave.
func (s *statements) leaves(gate link.Status) bool {
	leaving := s.leaving.Load()
	if leaving == nil {
		return false
	}
	_, known := (*leaving)[incarnationOf(gate)]
	return known
}

// limitFor returns the limit to send with an offer to a gate; nil if none is known, or the gate
// has itself heard from its upstream.
func (s *statements) limitFor(gate link.Status, now time.Time) *link.NamedLimit {
	if gate.Heard {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.limits[incarnationOf(gate)]
	if !ok {
		return nil
	}
	return &link.NamedLimit{StartedAt: gate.StartedAt, Rate: l.rate, Age: now.Sub(l.at)}
}

// incarnationOf returns the incarnation of the upstream beside a gate.
func incarnationOf(gate link.Status) port.Incarnation {
	return port.Incarnation{ID: gate.Upstream, StartedAt: gate.StartedAt}
}
