package ingress

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eiderfold/result"
)

const (
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// Defaults for limits that no configuration sets.
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 16 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// parsed is a request as read from a connection, with its body.
type parsed struct {
	*http.Request
	body        []byte
	reservation *reservation // Memory reserved for the body.
	bodyLimit   int64        // In bytes.
	arrived     time.Time
}

// header reads the header of one request, or returns the refusal of an invalid one.
func (c *serverConn) header() (*parsed, *Response) {
	l := c.server.limits()
	_ = c.SetReadDeadline(time.Now().Add(orDefaultTime(l.HeaderTimeout, defaultHeaderTimeout))) // Fails only on a closed connection, as the read does.
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
	return &parsed{Request: r, reservation: &reservation{memory: c.server.bodyMemory}, bodyLimit: cmp.Or(l.BodyBytes, defaultBodyBytes)}, nil
}

// expectsContinue reports whether the caller waits for "100 Continue" before it sends the body.
func (r *parsed) expectsContinue() bool {
	return r.Body != http.NoBody && strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1)
}

// body reads a request's body, or returns the refusal if it is invalid, late or too large.
func (c *serverConn) body(p *pendingAnswer, r *parsed) *Response {
	fault := c.bodyFault(p, r)
	if fault != nil {
		r.reservation.release()
	}
	r.arrived = time.Now()
	return fault
}

// bodyFault reads the body, and returns the refusal if that fails.
func (c *serverConn) bodyFault(p *pendingAnswer, r *parsed) *Response {
	if r.ContentLength > r.bodyLimit {
		return refusal(result.New(result.BodyTooLarge, ""))
	}
	if r.Body == http.NoBody {
		return nil
	}
	c.limit.N = r.bodyLimit + r.bodyLimit/8 + bufferBytes // Leaves space for chunk headers.
	err := c.awaitBody(p)
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		r.body, err = r.readBody(r.bodyLimit)
	}
	switch {
	case int64(len(r.body)) > r.bodyLimit:
		return refusal(result.New(result.BodyTooLarge, ""))
	case errors.Is(err, errNoMemory):
		return c.refuseBody()
	case timedOut(err):
		return refusal(result.New(result.SlowCaller, "the body did not come in time"))
	case err != nil:
		return refusal(result.New(result.BadRequest, "the body broke off"))
	}
	return nil
}

// awaitBody waits for the first byte of a body. A caller who waits for "100 Continue" has the whole time from then
// on: it may come late, behind the answers to earlier requests.
func (c *serverConn) awaitBody(p *pendingAnswer) error {
	for {
		mayBegin := !p.expects || p.continued.Load()
		_ = c.SetReadDeadline(time.Now().Add(bodyTimeout)) // Fails only on a closed connection, as the read does.
		_, err := c.reader.Peek(1)
		if !timedOut(err) || mayBegin || c.isAborted() {
			return err
		}
	}
}

// readBody reads at most limit+1 bytes. It reserves memory as bytes arrive, so that a slow
// sender holds no memory for bytes it has not sent.
func (r *parsed) readBody(limit int64) ([]byte, error) {
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, reserveStep)) + bytes.MinRead) // Most bodies fit and need no second copy.
	}
	from := &reservingReader{from: r.Body, reservation: r.reservation}
	_, err := body.ReadFrom(io.LimitReader(from, limit+1))
	return body.Bytes(), err
}

// refuseBody refuses a request for lack of memory. The request has not been offered to any
// gate.
func (c *serverConn) refuseBody() *Response {
	c.server.onBodyRefused()
	return refusal(result.New(result.Overloaded, "no room for the body").WithRetryAfter(shortRetryAfter))
}

func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

func orDefaultTime(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
