package ingress

import (
	"sync"
	"time"

	"eiderfold/link"
	"eiderfold/port"
)

// maxStatements bounds how many upstreams' statements are kept: few upstreams name a limit at a
// time.
const maxStatements = 1024

// statement is what an upstream last said of itself in an answer to this node.
type statement struct {
	rate    float64 // The limit that it names, in requests per second.
	heardAt time.Time
}

// statements holds what upstreams have said of themselves, by incarnation. The gate beside an
// upstream acts on it; this node keeps it for the process that replaces the gate.
type statements struct {
	mu sync.Mutex
	of map[port.Incarnation]statement
}

// note records what an answer of an upstream says.
func (s *statements) note(upstream port.Incarnation, m port.ResponseMetadata, now time.Time) {
	if upstream.ID == "" || m.Limit.State == port.LimitUnknown {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case m.Limit.State == port.LimitNamed:
		s.put(upstream, statement{rate: m.Limit.Rate, heardAt: now})
	case m.Genuine:
		delete(s.of, upstream)
	}
}

// put stores a statement and evicts the oldest one if there are too many. The lock must be held.
func (s *statements) put(upstream port.Incarnation, said statement) {
	if s.of == nil {
		s.of = map[port.Incarnation]statement{}
	}
	s.of[upstream] = said
	if len(s.of) <= maxStatements {
		return
	}
	oldest := upstream
	for u, other := range s.of {
		if other.heardAt.Before(s.of[oldest].heardAt) {
			oldest = u
		}
	}
	delete(s.of, oldest)
}

// limitFor returns the limit to send with an offer to a gate; nil if none is known, or the gate
// has itself heard from its upstream.
func (s *statements) limitFor(gate link.Status, now time.Time) *link.KnownLimit {
	if gate.Heard {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	said, ok := s.of[incarnationOf(gate)]
	if !ok {
		return nil
	}
	return &link.KnownLimit{StartedAt: gate.StartedAt, Rate: said.rate, Age: now.Sub(said.heardAt)}
}

// incarnationOf returns the incarnation of the upstream beside a gate.
func incarnationOf(gate link.Status) port.Incarnation {
	return port.Incarnation{ID: gate.Upstream, StartedAt: gate.StartedAt}
}
