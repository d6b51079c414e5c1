package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// longMark in the id of an attempt asks for an answer of longRepeats times the id, some 1.5 MB: more than a
	// connection with a small receive buffer holds.
	longMark    = "-long"
	longRepeats = 90000
	// slowReadTime is how long a slow reader takes for a byte: about 0.6 s for a long answer, less than a stop has for
	// what it accepts last.
	slowReadTime = 400 * time.Nanosecond
	// receiveBuffer is the slow reader's receive buffer in bytes.
	receiveBuffer = 32 << 10
	// batchesPerConn is how many batches a caller sends on one connection at most.
	batchesPerConn = 6
)

// expectedBody returns the response body of an attempt.
func expectedBody(attempt string) string {
	if strings.Contains(attempt, longMark) {
		return strings.Repeat(attempt+" ", longRepeats)
	}
	return strings.Repeat(attempt+" ", 40)
}

// pipelined is one request of a batch.
type pipelined struct {
	attempt string
	key     string // Of a client account, "" for none.
	order   string // Body of an order that is sent after "100 Continue"; "" for a lookup.
}

// pipeliner is a caller that sends batches of requests without waiting for answers, and reads the answers slowly.
type pipeliner struct {
	soak   *soak
	node   *node
	name   string
	number int // Of its last attempt.
}

// runPipeliner sends batches to one node, on one connection after the other, until ctx ends.
func (s *soak) runPipeliner(ctx context.Context, n *node, caller int) {
	p := &pipeliner{soak: s, node: n, name: fmt.Sprintf("s%d-p%d", s.options.Seed, caller)}
	for ctx.Err() == nil {
		p.serveConn(ctx)
		time.Sleep(callPause/2 + rand.N(callPause))
	}
}

// serveConn sends some batches on a new connection.
func (p *pipeliner) serveConn(ctx context.Context) {
	d := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := d.DialContext(ctx, "tcp4", p.node.callers)
	if err != nil {
		return // Nothing was sent.
	}
	defer conn.Close() //nolint:errcheck // All that is expected on it was read.
	in := bufio.NewReader(&slowReader{conn: conn})
	for batch := range batchesPerConn {
		if ctx.Err() != nil || !p.sendBatch(ctx, conn, in, batch == 0) {
			return
		}
		time.Sleep(rand.N(callPause))
	}
}

// sendBatch sends a long lookup, an order with Expect and a lookup, and checks the answers. The connection may be fresh: no
// request was sent on it before. It reports whether the connection can be used further.
func (p *pipeliner) sendBatch(ctx context.Context, conn net.Conn, in *bufio.Reader, fresh bool) bool {
	batch := []pipelined{p.next(longMark), p.next(""), p.next("")}
	batch[1].order = "order of " + batch[1].attempt
	for _, r := range batch[:2] { // The last one follows the order's body.
		p.write(conn, r)
	}
	starts := p.node.starts.Load()
	for i, r := range batch {
		open, err := p.receive(conn, in, r, batch[i+1:])
		if err != nil {
			p.checkUnanswered(ctx, batch[i:], starts, fresh && i == 0, err)
			return false
		}
		if !open {
			p.checkUnanswered(ctx, batch[i+1:], starts, false, errors.New("behind an answer that closes the connection"))
			return false
		}
	}
	return true
}

// next returns the next request, with a mark at the end of its attempt's id.
func (p *pipeliner) next(mark string) pipelined {
	p.number++
	return pipelined{attempt: fmt.Sprintf("%s-%d%s", p.name, p.number, mark), key: p.soak.keyOf(p.number)}
}

// write sends a request without the body of an order. A failed write shows in the answer that is missing.
func (p *pipeliner) write(conn net.Conn, r pipelined) {
	method, path, expect := http.MethodGet, "/look/"+r.attempt, ""
	if r.order != "" {
		method, path = http.MethodPost, "/order/"+r.attempt
		expect = fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(r.order))
	}
	key := ""
	if r.key != "" {
		key = "Authorization: Token " + r.key + "\r\n"
	}
	p.soak.checker.recordSent(p.node, r.attempt, method+" "+path+" "+r.order, r.order != "", r.key)
	if mustBeServed(r.key) {
		p.soak.asked.Add(1)
	}
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s%s\r\n", method, path, r.attempt, callDeadline.Milliseconds(), key, expect)
}

// receive reads and checks the answer to a request. It sends the body of an order, and the requests behind it, once the
// node asks for the body. It reports whether the connection stays open.
func (p *pipeliner) receive(conn net.Conn, in *bufio.Reader, r pipelined, behind []pipelined) (open bool, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(callTimeout)) // Fails only on a closed connection, as the read does.
	resp, err := http.ReadResponse(in, nil)
	if err == nil && resp.StatusCode == http.StatusContinue {
		if r.order == "" {
			p.soak.checker.violate("MIXED: %s got an interim answer that nobody waits for", r.attempt)
		}
		_, _ = io.WriteString(conn, r.order)
		for _, b := range behind {
			p.write(conn, b)
		}
		resp, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		return false, errors.Wrap(err, "answer")
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, errors.Wrapf(err, "answer %d after %d bytes", resp.StatusCode, len(text))
	}
	if id := resp.Header.Get("Attempt-Id"); id != "" && id != r.attempt {
		p.soak.checker.violate("MIXED: %s got the answer to %s", r.attempt, id)
	}
	p.soak.check(p.node, r.attempt, r.key, resp.StatusCode, string(text), nil)
	return !resp.Close, nil
}

// checkUnanswered checks requests without an answer, unless the node was disrupted. It reports those that ran and, as for
// other callers, the one whose answer was due if it timed out or was the first on its connection. The others were sent
// behind it, and a connection that closes need not answer them.
func (p *pipeliner) checkUnanswered(ctx context.Context, batch []pipelined, starts int64, first bool, err error) {
	if ctx.Err() != nil || time.Since(time.Unix(0, p.node.disruptedAt.Load())) < excuseTime {
		return
	}
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	for i, r := range batch {
		ran := p.soak.checker.runs(r.attempt) > 0
		if due := i == 0 && (first || timedOut); due || ran {
			p.soak.checker.violate("LOST: %s by %s, life %d: pipelined, ran: %t: %v", r.attempt, p.node.name, starts, ran, err)
		}
	}
}

// slowReader takes slowReadTime for each byte.
type slowReader struct{ conn net.Conn }

// Read implements io.Reader.
func (r *slowReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	time.Sleep(time.Duration(n) * slowReadTime)
	return n, err
}
