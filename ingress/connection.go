package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// mostPipelined is how many requests of one connection are in hand at a time.
	mostPipelined = 32
	// lingerTime is how long a closed connection is read on, so that bytes on their
	// way do not reset the answer before it.
	lingerTime = 500 * time.Millisecond
	// bufferBytes is the size of a connection's buffers: most headers fit.
	bufferBytes = 4 << 10
)

// slot is a request's place in the order of answers.
type slot struct {
	method   string
	old      bool // HTTP/1.0, or the caller closes after it.
	last     bool // Nothing can be read behind it.
	response chan *Response
}

// serverConn is a caller's connection: one goroutine reads requests, one writes
// their answers in order.
type serverConn struct {
	net.Conn
	server  *Server
	reader  *bufio.Reader
	limit   *io.LimitedReader // Under reader; set anew for each part of a request.
	slots   chan *slot
	mu      sync.Mutex
	pending int  // Requests that were read and not answered.
	closing bool // Nothing more is read from it.
}

// handle serves one connection until its last answer is sent.
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
			if r != nil {
				r.share.release() // It counts as not read, and nobody else gives its room back.
			}
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

// answer fills the request's place in the order of answers.
func (c *serverConn) answer(ctx context.Context, p *slot, r *parsed) {
	defer r.share.release()
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
	out := bufio.NewWriterSize(pieceWriter{c.Conn}, bufferBytes)
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
			_ = c.Conn.Close() // Its caller does not read; nothing is of use to it any more.
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

// closeIdle ends the connection if nothing is in hand.
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
