package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eiderfold/bodymemory"
	"eiderfold/listener"
	"eiderfold/route"
)

// Serve answers one request. A nil response means that the caller has left: no further answer is
// written to the connection.
type Serve func(ctx context.Context, r *Request) *Response

// Server is an HTTP/1.1 server for callers. It runs the pipelined requests of a connection
// concurrently and answers them in order, which net/http's server does not offer.
type Server struct {
	serve         Serve
	checkHeader   func(r *Request) *Response // Returns the refusal of a request whose header decides that.
	limits        func() route.Limits
	bodyMemory    *bodymemory.Memory
	onBodyRefused func() // Called for each body refused for lack of memory.
	onUnanswered  func(ConnectionState)
	stopping      atomic.Bool
	mu            sync.Mutex
	conns         map[*serverConn]bool
}

// defaultBodyMemory is the memory limit for request bodies, in bytes, unless WithBodyMemory sets
// another.
const defaultBodyMemory = 64 << 20

// ServerOption configures a Server in NewServer.
type ServerOption func(*Server)

// WithBodyMemory sets the memory for request bodies, which the server may share with others. refused is called for each
// body that is refused for lack of memory.
func WithBodyMemory(m *bodymemory.Memory, refused func()) ServerOption {
	return func(s *Server) {
		s.bodyMemory = m
		s.onBodyRefused = refused
	}
}

// WithUnanswered sets a function that is called for each connection that ends while the server
// stops and on which a request, or the first one, has not been answered.
func WithUnanswered(unanswered func(ConnectionState)) ServerOption {
	return func(s *Server) { s.onUnanswered = unanswered }
}

// WithHeaderCheck sets a function that is called for a request whose body has not arrived, with the request without its
// body. If it returns a response, that is the answer, and the body is not waited for.
func WithHeaderCheck(check func(r *Request) *Response) ServerOption {
	return func(s *Server) { s.checkHeader = check }
}

// NewServer returns a server. It calls limits before it reads each request.
func NewServer(serve Serve, limits func() route.Limits, options ...ServerOption) *Server {
	s := &Server{serve: serve, limits: limits, bodyMemory: bodymemory.New(defaultBodyMemory), onBodyRefused: func() {},
		checkHeader: func(*Request) *Response { return nil }, onUnanswered: func(ConnectionState) {}, conns: map[*serverConn]bool{}}
	for _, o := range options {
		o(s)
	}
	return s
}

// Serve accepts connections until the listener is closed. A connection is registered before the next
// one is accepted.
func (s *Server) Serve(l net.Listener) {
	listener.Serve(l, func(c net.Conn) { go s.open(c).handle() })
}

// Stop makes the server close each connection once its pending requests are answered.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections on which no request is pending or being read and returns
// how many connections remain, including those that are still closing.
func (s *Server) CloseIdle() int {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle(now)
	}
	return len(s.conns)
}

// Busy returns on how many connections a request is pending or being read, or the caller has not got all of an answer.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.busy() {
			n++
		}
	}
	return n
}

// AbortReading refuses the requests that are still being read, as if their time were over.
func (s *Server) AbortReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abortReading()
	}
}

func (s *Server) track(c *serverConn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}
