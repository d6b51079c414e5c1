package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eiderfold/result"
	"eiderfold/route"
)

const (
	// mostPipelined is how many requests of one connection are in hand at a time.
	mostPipelined = 32
	// bodyTimeout is how long a body may take from its first byte.
	bodyTimeout = 30 * time.Second
	// lingerTime is how long a closed connection is read on, so that bytes on their
	// way do not reset the answer before it.
	lingerTime = 500 * time.Millisecond
	// Limits while there is no configuration.
	standardHeaderBytes   = 64 << 10
	standardBodyBytes     = 16 << 20
	standardHeaderTimeout = 10 * time.Second
	standardIdleTimeout   = 60 * time.Second
	bufferBytes           = 4 << 10
	// acceptPause is the pause after a failed accept, for instance without descriptors.
	acceptPause = 20 * time.Millisecond
)

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

// slot is a request's place in the order of answers.
type slot struct {
	method   string
	old      bool // HTTP/1.0, or the caller closes after it.
	last     bool // Nothing can be read behind it.
	response chan *Response
}

type serverConn struct {
	net.Conn
	server  *Server
	reader  *bufio.Reader
	limit   *io.LimitedReader
	slots   chan *slot
	mu      sync.Mutex
	pending int
	closing bool // Nothing more is read from it.
}

func (s *Server) handle(raw net.Conn) {
	limit := &io.LimitedReader{R: raw, N: standardHeaderBytes}
	c := &serverConn{Conn: raw, server: s, limit: limit, reader: bufio.NewReaderSize(limit, bufferBytes), slots: make(chan *slot, mostPipelined)}
	s.track(c, true)
	defer s.track(c, false)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	gone := c.read(ctx)
	close(c.slots)
	if gone {
		cancel()
	}
	<-written
	cancel()
	c.finish()
}

// finish closes the connection without losing the answer before it.
func (c *serverConn) finish() {
	if t, ok := c.Conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // Fails only on a closed connection.
		_, _ = io.Copy(io.Discard, c.Conn)                // What comes now is not read.
	}
	_ = c.Close()
}

// read takes requests until the connection ends, and reports whether the caller
// has left.
func (c *serverConn) read(ctx context.Context) bool {
	for {
		if gone, ok := c.await(); !ok {
			return gone
		}
		r, fault := c.request()
		if !c.begin() {
			return false
		}
		p := &slot{response: make(chan *Response, 1)}
		if fault != nil {
			p.last = true
			p.response <- fault
			c.slots <- p
			return false
		}
		p.method = r.Method
		p.old = !r.ProtoAtLeast(1, 1) || r.Close
		p.last = p.old
		c.slots <- p
		go c.answer(ctx, p, r)
		if p.last {
			return c.departed()
		}
	}
}

// departed waits, behind the last request, for the caller to leave early.
func (c *serverConn) departed() bool {
	c.limit.N = 1 << 20
	_ = c.SetReadDeadline(time.Time{})
	stop := make(chan struct{})
	defer close(stop)
	go c.untilAnswered(stop)
	_, err := c.reader.ReadByte()
	return err != nil && !errors.Is(err, context.DeadlineExceeded) && !timedOut(err)
}

// untilAnswered ends a waiting read when nothing is pending any more.
func (c *serverConn) untilAnswered(stop chan struct{}) {
	t := time.NewTicker(lingerTime)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		c.mu.Lock()
		done := c.pending == 0
		c.mu.Unlock()
		if done {
			_ = c.SetReadDeadline(time.Now()) // Fails only on a closed connection.
			return
		}
	}
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// await waits for the next request's first byte. ok is false when none comes;
// gone tells whether the caller ended the connection.
func (c *serverConn) await() (gone, ok bool) {
	for {
		l := c.server.limits()
		c.limit.N = int64(orStandard(l.HeaderBytes, standardHeaderBytes)) + bufferBytes
		_ = c.SetReadDeadline(time.Now().Add(orStandardTime(l.IdleTimeout, standardIdleTimeout))) // As the read.
		if c.isClosing() {
			return false, false // It may have been woken before the deadline was set.
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return false, true
		}
		c.mu.Lock()
		busy := c.pending > 0 && !c.closing
		closing := c.closing
		c.mu.Unlock()
		if !timedOut(err) {
			return !closing, false
		}
		if !busy {
			return false, false
		}
	}
}

// begin counts a request that was read; false if the connection is closing, and
// the request thereby not read.
func (c *serverConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	return true
}

// parsed is a request with what concerns its connection.
type parsed struct {
	*http.Request
	body    []byte
	arrived time.Time
}

// request reads one request whole, or says what is wrong with it.
func (c *serverConn) request() (*parsed, *Response) {
	l := c.server.limits()
	_ = c.SetReadDeadline(time.Now().Add(orStandardTime(l.HeaderTimeout, standardHeaderTimeout))) // As the read.
	r, err := http.ReadRequest(c.reader)
	switch {
	case err != nil && c.limit.N <= 0:
		return nil, refusal(result.New(result.HeaderTooLarge, "the header is over the limit"))
	case timedOut(err):
		return nil, refusal(result.New(result.SlowCaller, "the header did not come in time"))
	case err != nil:
		return nil, refusal(result.New(result.BadRequest, "no proper HTTP request"))
	case !strings.HasPrefix(r.RequestURI, "/") || r.Host == "":
		return nil, refusal(result.New(result.BadRequest, "no path or no host"))
	}
	body, fault := c.body(r, l)
	return &parsed{Request: r, body: body, arrived: time.Now()}, fault
}

func (c *serverConn) body(r *http.Request, l route.Limits) ([]byte, *Response) {
	most := l.BodyBytes
	if most == 0 {
		most = standardBodyBytes
	}
	if r.ContentLength > most {
		return nil, refusal(result.New(result.BodyTooLarge, ""))
	}
	if r.Body == http.NoBody {
		return nil, nil
	}
	c.limit.N = most + most/8 + bufferBytes // The marks between chunks come on top.
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, refusal(result.New(result.SlowCaller, "the caller has left"))
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	switch {
	case int64(len(body)) > most:
		return nil, refusal(result.New(result.BodyTooLarge, ""))
	case timedOut(err):
		return nil, refusal(result.New(result.SlowCaller, "the body did not come in time"))
	case err != nil:
		return nil, refusal(result.New(result.BadRequest, "the body broke off"))
	}
	return body, nil
}

func (c *serverConn) answer(ctx context.Context, p *slot, r *parsed) {
	p.response <- c.server.serve(ctx, &Request{
		Method:     r.Method,
		RequestURI: r.RequestURI,
		URL:        r.URL,
		Host:       r.Host,
		Header:     r.Header,
		Body:       r.body,
		Arrived:    r.arrived,
	})
}

// write sends answers in the order of their requests.
func (c *serverConn) write() {
	out := bufio.NewWriterSize(c.Conn, bufferBytes)
	failed := false
	for p := range c.slots {
		r := <-p.response
		last := c.end(p)
		if r == nil || failed {
			failed = true
			continue
		}
		encode(out, r, p.method, last)
		if len(c.slots) == 0 && out.Flush() != nil {
			failed = true
		}
		if last {
			c.wakeReader()
		}
	}
	_ = out.Flush() // The caller may be gone.
}

// end counts a request as answered and decides whether its answer is the last.
func (c *serverConn) end(p *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if p.last || c.server.stopping.Load() && c.pending == 0 {
		c.closing = true
	}
	return c.closing && c.pending == 0
}

// wakeReader ends a read that waits for a request which is no longer wanted.
func (c *serverConn) wakeReader() { _ = c.SetReadDeadline(time.Now()) }

func (c *serverConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		c.closing = true
		c.wakeReader()
	}
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func orStandard(n, standard int) int {
	if n > 0 {
		return n
	}
	return standard
}

func orStandardTime(d, standard time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return standard
}
