package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eiderfold/httphead"
	"eiderfold/socket"
)

const (
	// maxPipelined is how many requests of one connection may be pending at a time.
	maxPipelined = 32
	// lingerTime is how long a connection is read after its last answer, so that bytes in
	// transit do not reset it before the answer arrives.
	lingerTime = 500 * time.Millisecond
	// lastLookTime is how long a closing connection is read for a request that has arrived.
	lastLookTime = time.Millisecond
	// freshTime is how long a new connection is kept open for its first request when the
	// server stops.
	freshTime = 200 * time.Millisecond
	// pieceTimeout is how long a caller may take to make room for a piece of its answer. The node holds the
	// answer in memory meanwhile.
	pieceTimeout = 10 * time.Second
	// bufferBytes is the size of a connection's buffers: most headers fit.
	bufferBytes = 4 << 10
)

// pendingAnswer is a request's position in the order of answers.
type pendingAnswer struct {
	method    string
	last      bool        // No request is read after it.
	expects   bool        // The caller waits for "100 Continue" before it sends the body.
	continued atomic.Bool // It was sent.
	unread    bool        // The body was not read whole.
	response  chan *Response
}

// serverConn is a caller's connection: one goroutine reads requests, one writes
// their answers in order.
type serverConn struct {
	net.Conn
	server  *Server
	reader  *bufio.Reader
	head    *httphead.Reader  // Below reader.
	limit   *io.LimitedReader // Below head; reset for each part of a request.
	answers chan *pendingAnswer
	mu      sync.Mutex
	// answered is how many requests were answered, without those whose caller left.
	answered int
	pending  int  // Requests that were read and are not answered.
	reading  bool // Part of a request was read that is not pending yet.
	writing  bool // Answers of requests that are no longer pending are being written.
	aborted  bool // What is still being read is given up.
	closing  bool // It closes unless a request has arrived already.
	// announced is whether the caller was told that no further request is read.
	announced bool
	accepted  time.Time
	// keepUntil is until when it is kept open without a request: its caller has just connected.
	keepUntil time.Time
}

// open registers a new connection. It is open until handle returns.
func (s *Server) open(raw net.Conn) *serverConn {
	socket.LimitUnread(raw)
	limit := &io.LimitedReader{R: raw, N: defaultHeaderBytes}
	head := httphead.NewReader(limit)
	now := time.Now()
	c := &serverConn{
		Conn:      raw,
		server:    s,
		limit:     limit,
		head:      head,
		reader:    bufio.NewReaderSize(head, bufferBytes),
		answers:   make(chan *pendingAnswer, maxPipelined),
		accepted:  now,
		keepUntil: now.Add(freshTime),
	}
	s.track(c, true)
	return c
}

// handle serves the connection until its last answer is sent.
func (c *serverConn) handle() {
	defer c.server.track(c, false)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	gone := c.read(ctx)
	close(c.answers)
	if gone {
		cancel()
	}
	<-written
	cancel()
	c.finish()
	if state := c.state(); state.unanswered() && c.server.stopping.Load() {
		c.server.onUnanswered(state)
	}
}

// finish closes the connection without losing the last answer.
func (c *serverConn) finish() {
	if t, ok := c.Conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.linger()
	}
	_ = c.Close()
}

// linger discards later requests until the caller closes the connection or has got its answers. Bytes of the caller
// that arrive after the close would make the system drop what the caller has not got.
func (c *serverConn) linger() {
	left := socket.Unacknowledged(c.Conn)
	giveUpAt := time.Now().Add(pieceTimeout)
	for {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // Fails only on a closed connection, as the read does.
		_, err := io.Copy(io.Discard, c.Conn)
		before := left
		left = socket.Unacknowledged(c.Conn)
		if left < before {
			giveUpAt = time.Now().Add(pieceTimeout)
		}
		if !timedOut(err) || left == 0 || time.Now().After(giveUpAt) {
			return
		}
	}
}

// read reads requests until the connection ends, and reports whether the caller closed it.
func (c *serverConn) read(ctx context.Context) bool {
	var order pipeline
	for {
		if gone, ok := c.awaitRequest(); !ok {
			return gone
		}
		if !c.beginReading() {
			return false
		}
		p := &pendingAnswer{response: make(chan *Response, 1)}
		keep := false
		r, refused := c.header()
		if refused == nil {
			p.method = r.Method
			p.last = !r.ProtoAtLeast(1, 1) || r.Close
			p.expects = r.expectsContinue()
			refused = c.refuseByHeader(r)
			keep = p.keeps(r)
		}
		if refused != nil {
			c.refuse(p, refused, !keep)
			c.answers <- p
			if keep && c.discardBody(r) {
				continue
			}
			return false
		}
		c.answers <- p // Before the body is read: "100 Continue" has its place among the answers.
		if refused := c.body(p, r); refused != nil {
			c.refuse(p, refused, true)
			return false
		}
		c.begin()
		go c.answer(ctx, p, r, order.next(r.Method))
		if p.last {
			return c.leavesEarly()
		}
	}
}

// refuse answers a request whose body was not read.
func (c *serverConn) refuse(p *pendingAnswer, refusal *Response, last bool) {
	c.begin()
	p.last, p.unread = last, true
	p.response <- refusal
}

// leavesEarly waits until the last request is answered, and reports whether the caller
// left before.
func (c *serverConn) leavesEarly() bool {
	c.limit.N = 1 << 20
	_ = c.SetReadDeadline(time.Time{})
	stop := make(chan struct{})
	defer close(stop)
	go c.interruptWhenAnswered(stop)
	_, err := c.reader.ReadByte()
	return err != nil && !errors.Is(err, context.DeadlineExceeded) && !timedOut(err)
}

// interruptWhenAnswered interrupts a blocked read once no request is pending.
func (c *serverConn) interruptWhenAnswered(stop chan struct{}) {
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

// awaitRequest waits for the first byte of the next request. ok is false if none arrives;
// gone reports whether the caller closed the connection. When the connection closes, it looks
// once more for a request that arrived before.
func (c *serverConn) awaitRequest() (gone, ok bool) {
	for {
		l := c.server.limits()
		c.limit.N = int64(orDefault(l.HeaderBytes, defaultHeaderBytes)) + bufferBytes
		closing := c.isClosing()
		wait := orDefaultTime(l.IdleTimeout, defaultIdleTimeout)
		if closing {
			wait = lastLookTime
		}
		_ = c.SetReadDeadline(time.Now().Add(wait)) // Fails only on a closed connection, as the read does.
		if c.isClosing() != closing {
			continue // wakeReader may have run before the deadline was set.
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return false, true
		}
		c.mu.Lock()
		closingNow, pending := c.closing, c.pending > 0
		c.mu.Unlock()
		switch {
		case !timedOut(err):
			return !closingNow, false
		case closing, !closingNow && !pending:
			return false, false
		}
	}
}

// beginReading records that a request is being read, which keeps the connection open until it
// is answered. It returns false if the last answer has been announced as such.
func (c *serverConn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.announced
	return c.reading
}

// begin counts the request that was read as pending.
func (c *serverConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.pending++
}

// answer runs a request when its turn has come and passes its response to the writer.
func (c *serverConn) answer(ctx context.Context, p *pendingAnswer, r *parsed, t turn) {
	defer t.done()
	t.await()
	if ctx.Err() != nil {
		p.response <- nil // The caller has left while the request waited.
		return
	}
	p.response <- c.server.serve(ctx, r.request())
}

// write sends answers in the order of their requests.
func (c *serverConn) write() {
	out := bufio.NewWriterSize(socket.PieceWriter{Conn: c.Conn, Timeout: pieceTimeout}, bufferBytes)
	failed := false
	flush := func() {
		if !failed && out.Flush() != nil {
			failed = true
			_ = c.Conn.Close() // The caller does not read, so no further answer can reach it.
		}
		c.written()
	}
	for p := range c.answers {
		r := p.await(out, flush)
		last := c.end(p, r != nil)
		if r == nil || failed {
			failed = true
			continue
		}
		encode(out, r, p.method, last)
		// Answers that are ready go out together, without waiting for another one.
		if len(c.answers) == 0 {
			flush()
		}
		if last {
			c.wakeReader()
		}
	}
	flush()
}

// await returns the answer, and flushes what is ready before it waits.
func (p *pendingAnswer) await(out *bufio.Writer, flush func()) *Response {
	select {
	case r := <-p.response:
		if p.expects && !p.unread {
			writeContinue(out)
		}
		return r
	default:
	}
	if p.expects {
		writeContinue(out)
	}
	flush()
	p.continued.Store(true)
	return <-p.response
}

// writeContinue writes the interim answer; the writer keeps its first error, which Flush returns.
func writeContinue(out *bufio.Writer) { _, _ = out.WriteString("HTTP/1.1 100 Continue\r\n\r\n") }

// end counts a request as done, its answer as being written, and reports whether that is the last one. answered is
// false if its caller has left.
func (c *serverConn) end(p *pendingAnswer, answered bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.writing = true
	if answered {
		c.answered++
	}
	if p.last || c.idle() && (c.closing || c.server.stopping.Load()) {
		c.closing = true
		c.announced = true
	}
	return c.announced
}

// written records that the answers of all requests that are no longer pending were written, or can't be.
func (c *serverConn) written() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

// wakeReader interrupts a read that waits for the next request.
func (c *serverConn) wakeReader() { _ = c.SetReadDeadline(time.Now()) }

// idle reports whether no request is pending or being read. The lock must be held.
func (c *serverConn) idle() bool { return c.pending == 0 && !c.reading }

// busy reports whether a request is pending or being read, or the caller has not got all of an answer.
func (c *serverConn) busy() bool {
	c.mu.Lock()
	active := !c.idle() || c.writing
	c.mu.Unlock()
	return active || socket.Unacknowledged(c.Conn) > 0
}

// closeIdle closes the connection if it is idle, has no answer to write and is not new.
func (c *serverConn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle() && !c.writing && now.After(c.keepUntil) {
		c.closing = true
		c.wakeReader()
	}
}

// abortReading makes a request that is still being read fail with a timeout, so that its
// caller gets an answer.
func (c *serverConn) abortReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.aborted = true
		c.wakeReader()
	}
}

func (c *serverConn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
