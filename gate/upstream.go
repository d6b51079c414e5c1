package gate

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eiderfold/link"
	"eiderfold/port"
)

const (
	// answerGrace is how long past the deadline the upstream's own answer to a
	// passed deadline is awaited.
	answerGrace = 150 * time.Millisecond
	// maxStrays is how many answers of earlier requests are skipped.
	maxStrays = 3
)

// Upstream names the process beside the node.
type Upstream struct {
	Address string // IP:port
	Service string
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

// do sends the request once and reads the whole answer.
func (c *client) do(ctx context.Context, r *link.Content, t port.OutgoingTerms, once bool) (*answer, *failure) {
	conn, err := c.connection(ctx, once)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &failure{outcome: NoEvidence, reason: link.ReasonExpired, detail: "given up before a connection came about"}
		}
		return nil, &failure{outcome: Unreached, reason: link.ReasonNotConnected, detail: err.Error(), processEnded: refusedConnection(err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	rested := conn.rested()
	a, reusable, f := c.exchange(conn, r, t)
	conn.unused = false
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

// exchange writes the request and reads its answer, and tells whether the
// connection can be used again.
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
