package gate

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eiderfold/bodymemory"
	"eiderfold/link"
	"eiderfold/port"
)

const (
	// answerGrace is how long after the deadline the client waits for the upstream's own answer
	// that the deadline has passed.
	answerGrace = 150 * time.Millisecond
	// maxStaleAnswers bounds how many answers to earlier requests are skipped.
	maxStaleAnswers = 3
	// firstWriteBytes is how much of a request is written first. The socket of an idle connection
	// takes it without waiting for the upstream.
	firstWriteBytes = 16 << 10
)

// Upstream identifies the process beside the node.
type Upstream struct {
	Address string // IP:port
	Service string
}

// client sends HTTP/1.1 requests to the upstream. It manages its connections itself: it has to
// check that a connection is idle before it reuses it, and must never send a request twice.
type client struct {
	address     string
	dialect     port.Dialect
	dialed      func()
	memory      *bodymemory.Memory // For the bodies of answers.
	mu          sync.Mutex
	idle        []*upstreamConn
	adaptedIdle time.Duration // Adapted idle limit; 0 for maxIdleTime.
}

// do sends the request once, if the guard still allows it, and reads the whole answer.
func (c *client) do(ctx context.Context, r *link.Content, m port.OutgoingMetadata, once bool, guard sendGuard) (*answer, *failure) {
	conn, err := c.connection(ctx, c.attemptOf(r), once)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &failure{outcome: NoEvidence, reason: link.ReasonExpired, detail: "canceled before a connection was established"}
		}
		return nil, &failure{outcome: Unreached, reason: link.ReasonNotConnected, detail: err.Error(), processEnded: connectionRefused(err)}
	}
	head := c.encodeHead(r, m)
	if f := guard.begin(); f != nil {
		c.putIdle(conn)
		return nil, f
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	idle := conn.idleFor()
	_ = conn.SetDeadline(time.Now().Add(m.TimeLeft + answerGrace)) // Fails only on a closed connection, as the write does.
	writing := startWrite(conn, head, r.Body, guard.end)
	a, reusable, f := c.receive(conn, r, writing)
	conn.unused = false
	c.adaptIdle(idle, f)
	open := stop()
	if !open && f != nil {
		f = &failure{outcome: NoEvidence, detail: "given up: " + f.detail}
	}
	if reusable && open {
		c.putIdle(conn)
	} else {
		_ = conn.Close() // Later data on it would belong to no request.
	}
	return a, f
}

// requestWrite is a request that is being written to the upstream.
type requestWrite struct {
	conn  net.Conn
	ended chan error // Gets the result of the write.
}

// startWrite writes the first bytes of a request, calls begun, and writes the rest in the background: an upstream
// may take long to read it, and answer before. A long body is not copied.
func startWrite(conn net.Conn, head, body []byte, begun func()) *requestWrite {
	w := &requestWrite{conn: conn, ended: make(chan error, 1)}
	first := min(len(head), firstWriteBytes)
	withFirst := min(len(body), firstWriteBytes-first)
	rest := net.Buffers{head[first:], body[withFirst:]}
	_, err := conn.Write(append(head[:first:first], body[:withFirst]...))
	begun()
	if err != nil || len(rest[0])+len(rest[1]) == 0 {
		w.ended <- err
		return w
	}
	go func() {
		_, err := rest.WriteTo(conn)
		w.ended <- err
	}()
	return w
}

// stop breaks off the write unless it has ended, and returns nil if the whole request was written.
func (w *requestWrite) stop() error {
	_ = w.conn.SetWriteDeadline(time.Now()) // Fails only on a closed connection, as the write does.
	return <-w.ended
}

// receive reads the answer to a request, and reports whether the connection can be reused. The answer may come
// before the whole request is written, or after the write has failed.
func (c *client) receive(conn *upstreamConn, r *link.Content, writing *requestWrite) (*answer, bool, *failure) {
	for range maxStaleAnswers {
		a, err := c.read(conn, r.Method)
		if err != nil {
			return nil, false, c.failed(err, writing.stop())
		}
		meta := c.dialect.Answer(a.status, a.header)
		if meta.Attempt != "" && meta.Attempt != c.attemptOf(r) {
			if err := discardBody(conn, a, maxAnswerBytes); err != nil {
				return nil, false, c.failed(err, writing.stop())
			}
			continue // The answer to an earlier request; ours may follow.
		}
		return c.accept(conn, a, meta, writing)
	}
	_ = writing.stop() // The connection is closed.
	return nil, false, &failure{outcome: Broken, detail: "answers of other requests only"}
}

// accept reads the body of the answer to a request, unless its head shows that it is of no use.
func (c *client) accept(conn *upstreamConn, a *answer, meta port.ResponseMetadata, writing *requestWrite) (*answer, bool, *failure) {
	f := classify(a, meta)
	var err error
	switch {
	case f == nil:
		err = c.readBody(conn, a)
	case f.outcome != Broken:
		err = discardBody(conn, a, maxAnswerBytes)
	}
	writeErr := writing.stop()
	if err != nil {
		return nil, false, c.failed(err, writeErr)
	}
	said := statementOf(a, meta)
	// A request that was not wholly written leaves the upstream waiting for its rest. Late copies of an answer
	// without an id can't be told from answers to later requests.
	reusable := writeErr == nil && meta.Attempt != "" && !a.rest.Close && conn.reader.Buffered() == 0
	if f != nil || a.status >= http.StatusInternalServerError {
		conn.unfinished = append(conn.unfinished, meta.Attempt)
		reusable = reusable && len(conn.unfinished) < maxUnfinished
	}
	if f != nil {
		f.said = said
		return nil, reusable && f.outcome != Broken, f
	}
	a.said = said
	return a, reusable, nil
}

// attemptOf returns the id of the caller's attempt, which is the same each time that it is sent.
func (c *client) attemptOf(r *link.Content) string {
	return http.Header(r.Header).Get(c.dialect.AttemptHeader())
}

// encodeHead returns the head of the request as the caller sent it, with the headers for the upstream.
func (c *client) encodeHead(r *link.Content, m port.OutgoingMetadata) []byte {
	h := http.Header(r.Header).Clone()
	c.dialect.SetOutgoing(h, m)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = h.Write(&out) // Writes to a buffer do not fail.
	out.WriteString("\r\n")
	return out.Bytes()
}

// healthAnswer is the answer to a health check.
type healthAnswer struct {
	upstream string // ID of the incarnation that answered.
	healthy  bool
	said     statement
}

// checkHealth requests the upstream's health path.
func (c *client) checkHealth(ctx context.Context, path string) (*healthAnswer, error) {
	conn, err := c.connection(ctx, "", true)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // The connection is not reused.
	if at, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(at)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, c.address); err != nil {
		return nil, errors.Wrap(err, "health check")
	}
	a, err := c.read(conn, http.MethodGet)
	if err != nil {
		return nil, err
	}
	if err := discardBody(conn, a, maxHealthBytes); err != nil {
		return nil, err
	}
	meta := c.dialect.Answer(a.status, a.header)
	said := statement{Statement: meta.Statement, at: a.readAt}
	if meta.Limit.State == port.LimitNone {
		said.Limit = port.NamedLimit{} // A health answer without a limit does not show that there is none.
	}
	return &healthAnswer{upstream: meta.Upstream, healthy: a.status == http.StatusOK, said: said}, nil
}
