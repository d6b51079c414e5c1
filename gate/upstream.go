package gate

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eiderfold/link"
	"eiderfold/port"
)

const (
	// connectTimeout bounds a connection to the same instance, which takes 1 ms.
	connectTimeout = 1 * time.Second
	// keptTime is how long an idle connection is used again for a retryable
	// request, unless the upstream says less.
	keptTime = 4 * time.Second
	// keptOnceTime is the same for a request that may run only once: should the
	// connection die under it, its outcome would be unknown. A connection that was
	// just used is not being closed for idleness, also by an upstream that forgets
	// them after 300 ms.
	keptOnceTime = 200 * time.Millisecond
	// A connection that broke under a request after a rest shortens the time that
	// others are kept to restShare of that rest, not under restLeast; every answer
	// lengthens it by restGrowth.
	restShare  = 0.7
	restLeast  = 100 * time.Millisecond
	restGrowth = 1.1
	// keepAliveShare is the part of the upstream's own idle time that is used.
	keepAliveShare = 0.6
	// answerGrace is how long past the deadline the upstream's own answer to a
	// passed deadline is awaited.
	answerGrace = 150 * time.Millisecond
	// maxAnswerBytes bounds an answer, which is held whole; as large as a body.
	maxAnswerBytes = 64 << 20
	// maxStrays is how many answers of earlier requests are skipped.
	maxStrays   = 3
	bufferBytes = 4 << 10
	maxIdle     = 16
)

// Upstream names the process beside the node.
type Upstream struct {
	Address string // IP:port
	Service string
}

// failure is why an attempt brought no answer.
type failure struct {
	outcome Outcome
	reason  link.Reason // Set when the request has not run for certain.
	detail  string
}

// client speaks HTTP/1.1 to the upstream over connections of its own, because it
// must know of each whether it is quiet, and must never send anything twice.
type client struct {
	address string
	dialect port.Dialect
	dialed  func()
	mu      sync.Mutex
	idle    []*upstreamConn
	rest    time.Duration // How long a connection may rest; 0 for keptTime.
}

type upstreamConn struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Time // By the upstream's word or keptTime.
	idleSince time.Time
}

// answer is what the upstream said, whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request once and reads the whole answer.
func (c *client) do(ctx context.Context, r *link.Content, t port.OutgoingTerms, once bool) (*answer, *failure) {
	conn, err := c.connection(ctx, once)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &failure{outcome: NoEvidence, reason: link.ReasonExpired, detail: "given up before a connection came about"}
		}
		return nil, &failure{outcome: Unreached, reason: link.ReasonNotConnected, detail: err.Error()}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	rested := conn.rested()
	a, reusable, f := c.exchange(conn, r, t)
	c.learn(rested, f)
	open := stop()
	if !open && f != nil {
		f = &failure{outcome: NoEvidence, detail: "given up: " + f.detail}
	}
	if reusable && open {
		c.keep(conn)
	} else {
		_ = conn.Close() // Whatever comes on it now belongs to nobody.
	}
	return a, f
}

// connection takes an idle connection that is quiet, or makes one.
func (c *client) connection(ctx context.Context, once bool) (*upstreamConn, error) {
	now := time.Now()
	for {
		conn := c.take()
		if conn == nil {
			break
		}
		fit := now.Before(conn.idleUntil) && now.Sub(conn.idleSince) < c.mayRest(once)
		if fit && quiet(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	d := net.Dialer{Timeout: connectTimeout}
	raw, err := d.DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	c.dialed()
	return &upstreamConn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferBytes)}, nil
}

// rested returns how long the connection was idle before this use; 0 for a new one.
func (c *upstreamConn) rested() time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return time.Since(c.idleSince)
}

// mayRest returns how long a connection may have been idle to be used again.
func (c *client) mayRest(once bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := c.rest
	if rest == 0 {
		rest = keptTime
	}
	if once {
		return min(rest, keptOnceTime)
	}
	return rest
}

// learn adapts the time that connections may rest to how they fared.
func (c *client) learn(rested time.Duration, f *failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f != nil && f.outcome == Broken && rested > 0:
		c.rest = max(time.Duration(restShare*float64(rested)), restLeast)
	case f == nil && c.rest > 0:
		c.rest = min(time.Duration(restGrowth*float64(c.rest)), keptTime)
	}
}

// take returns the connection that was used last.
func (c *client) take() *upstreamConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	conn := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return conn
}

func (c *client) keep(conn *upstreamConn) {
	conn.idleSince = time.Now()
	_ = conn.SetDeadline(time.Time{}) // Fails only on a closed connection, which quiet finds.
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdle {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, conn)
}

// drop closes idle connections; all of them, or those past their time.
func (c *client) drop(all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	kept := c.idle[:0]
	for _, conn := range c.idle {
		if !all && now.Before(conn.idleUntil) {
			kept = append(kept, conn)
			continue
		}
		_ = conn.Close()
	}
	c.idle = kept
}

func (c *client) exchange(conn *upstreamConn, r *link.Content, t port.OutgoingTerms) (*answer, bool, *failure) {
	_ = conn.SetDeadline(time.Now().Add(t.Left + answerGrace)) // Fails only on a closed connection, as the write does.
	_, sent := conn.Write(c.encode(r, t))
	// An upstream may answer before it has read a long body, so a failed write
	// does not mean that there is no answer.
	for range maxStrays {
		a, reusable, err := c.read(conn, r.Method)
		if err != nil {
			return nil, false, c.failed(err, sent)
		}
		terms := c.dialect.Answer(a.status, a.header)
		if terms.Attempt != "" && terms.Attempt != http.Header(r.Header).Get(c.dialect.AttemptHeader()) {
			continue // The answer to an earlier request; ours may follow.
		}
		return c.judge(a, terms, reusable && sent == nil)
	}
	return nil, false, &failure{outcome: Broken, detail: "answers of other requests only"}
}

// judge tells whether an answer is the upstream's own and whole.
func (c *client) judge(a *answer, terms port.AnswerTerms, reusable bool) (*answer, bool, *failure) {
	switch {
	case terms.NotRun && a.status == http.StatusMisdirectedRequest:
		return nil, reusable, &failure{outcome: Replaced, reason: link.ReasonMisdirected, detail: "the address is held by " + terms.Upstream}
	case terms.NotRun:
		return nil, reusable, &failure{outcome: Shed, reason: link.ReasonShed, detail: "refused with status " + strconv.Itoa(a.status)}
	case terms.Attempt == "":
		return nil, false, &failure{outcome: Broken, detail: "an answer that names no request"}
	case a.header.Get("Content-Encoding") != "":
		return nil, false, &failure{outcome: Broken, detail: "an answer in an encoding that nobody asked for"}
	case !terms.Genuine && a.status < http.StatusBadRequest:
		return nil, false, &failure{outcome: Broken, detail: "a success that no upstream made"}
	case promises(a.status):
		// Without the upstream's mark it may have run, and the status would say
		// to the caller that it has not.
		return nil, reusable, &failure{outcome: Erred, detail: "status " + strconv.Itoa(a.status) + " without the mark of a refusal"}
	default:
		return a, reusable, nil
	}
}

// promises tells whether a status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (c *client) failed(err, sent error) *failure {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return &failure{outcome: NoEvidence, detail: "no answer within the deadline"}
	}
	if sent != nil {
		return &failure{outcome: Broken, detail: "send: " + sent.Error()}
	}
	return &failure{outcome: Broken, detail: err.Error()}
}

// encode writes the request as the caller sent it, with the headers for the upstream.
func (c *client) encode(r *link.Content, t port.OutgoingTerms) []byte {
	h := http.Header(r.Header).Clone()
	c.dialect.SetOutgoing(h, t)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = h.Write(&out) // A buffer takes everything.
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes()
}

// read takes one final answer from the connection, whole.
func (c *client) read(conn *upstreamConn, method string) (*answer, bool, error) {
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, errors.Wrap(err, "answer")
		}
		if response.StatusCode < http.StatusOK {
			continue // 1xx: the final answer follows.
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
		if err != nil {
			return nil, false, errors.Wrap(err, "answer's body")
		}
		if len(body) > maxAnswerBytes {
			return nil, false, errors.New("answer's body is too large")
		}
		conn.idleUntil = time.Now().Add(idleTime(response.Header))
		return &answer{status: response.StatusCode, header: response.Header, body: body}, !response.Close && conn.reader.Buffered() == 0, nil
	}
}

// idleTime reads how long the upstream keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(textproto.TrimString(value)); err == nil && seconds >= 0 {
			return min(keptTime, time.Duration(keepAliveShare*float64(seconds)*float64(time.Second)))
		}
	}
	return keptTime
}

// checkHealth asks the upstream's health path and returns the incarnation that
// says it is well.
func (c *client) checkHealth(ctx context.Context, path string) (string, error) {
	conn, err := c.connection(ctx, true)
	if err != nil {
		return "", err
	}
	defer conn.Close() //nolint:errcheck // Nothing more is wanted of it.
	if at, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(at)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, c.address); err != nil {
		return "", errors.Wrap(err, "health")
	}
	a, _, err := c.read(conn, http.MethodGet)
	if err != nil {
		return "", err
	}
	if a.status != http.StatusOK {
		return "", errors.Errorf("health: status %d", a.status)
	}
	return c.dialect.Answer(a.status, a.header).Upstream, nil
}
