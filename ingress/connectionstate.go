package ingress

import (
	"net"
	"time"
)

// ConnectionState says how far a caller's connection has come. A stopping node logs it for
// connections without an answer, so that a connection that it has lost can be told from one that
// it has never accepted.
type ConnectionState struct {
	Remote   net.Addr
	Accepted time.Time
	Answered int  // Requests that were answered, without those whose caller left.
	Pending  int  // Requests that were read and are not answered.
	Reading  bool // Part of a further request was read.
	Writing  bool // Answers that are not counted as pending were not written whole.
}

// unanswered reports whether the connection has a request without a whole answer, or no request yet.
func (s ConnectionState) unanswered() bool {
	return s.Answered == 0 || s.Pending > 0 || s.Reading || s.Writing
}

// state returns the connection's state.
func (c *serverConn) state() ConnectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnectionState{Remote: c.RemoteAddr(), Accepted: c.accepted, Answered: c.answered, Pending: c.pending, Reading: c.reading, Writing: c.writing}
}

// Unanswered returns the open connections that have an unanswered request, or no request yet.
func (s *Server) Unanswered() []ConnectionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ConnectionState
	for c := range s.conns {
		if state := c.state(); state.unanswered() {
			out = append(out, state)
		}
	}
	return out
}
