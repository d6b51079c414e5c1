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
	room     *room
	noRoom   func() // Is told of each body for which there is no memory.
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*serverConn]bool
}

// standardRoom is how many bytes of bodies are held by a server that is told nothing else.
const standardRoom = 64 << 20

// ServerOption changes a server when it is made.
type ServerOption func(*Server)

// WithRoom bounds the bytes of requests' bodies that are held at a time, and names who is
// told of a body for which there is no memory.
func WithRoom(bytes int64, refused func()) ServerOption {
	return func(s *Server) {
		s.room = newRoom(bytes)
		s.noRoom = refused
	}
}

// NewServer returns a server; limits are asked for before every request.
func NewServer(serve Serve, limits func() route.Limits, options ...ServerOption) *Server {
	s := &Server{serve: serve, limits: limits, room: newRoom(standardRoom), noRoom: func() {}, conns: map[*serverConn]bool{}}
	for _, o := range options {
		o(s)
	}
	return s
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
