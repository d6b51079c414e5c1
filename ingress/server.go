package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eiderfold/route"
)

// acceptPause is the pause after a failed accept, for instance without descriptors.
const acceptPause = 20 * time.Millisecond

// Serve answers one request; nil closes the connection without an answer.
type Serve func(ctx context.Context, r *Request) *Response

// Server speaks HTTP/1.1 with callers. Requests that are sent behind one another
// on a connection run at the same time and are answered in their order, which
// net/http's server does not offer.
type Server struct {
	serve    Serve
	limits   func() route.Limits
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*serverConn]bool
}

// NewServer returns a server; limits are asked for before every request.
func NewServer(serve Serve, limits func() route.Limits) *Server {
	return &Server{serve: serve, limits: limits, conns: map[*serverConn]bool{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go s.handle(c)
	}
}

// Stop makes every answer the last of its connection.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections on which nothing is in hand, and returns how
// many are left.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
	return len(s.conns)
}

func (s *Server) track(c *serverConn, there bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if there {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}
