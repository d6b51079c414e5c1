package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eiderfold/result"
	"eiderfold/route"
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
	arrived     time.Time
}

// request reads one request with its body, or returns the refusal of an invalid one.
func (c *serverConn) request() (*parsed, *Response) {
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
	p := &parsed{Request: r, reservation: &reservation{memory: c.server.bodyMemory}}
	fault := c.body(p, l)
	if fault != nil {
		p.reservation.release()
	}
	p.arrived = time.Now()
	return p, fault
}

// body reads a request's body, or returns the refusal if it is invalid, late or too large.
func (c *serverConn) body(r *parsed, l route.Limits) *Response {
	limit := l.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return refusal(result.New(result.BodyTooLarge, ""))
	}
	if r.Body == http.NoBody {
		return nil
	}
	c.limit.N = limit + limit/8 + bufferBytes // Leaves space for chunk headers.
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return refusal(result.New(result.SlowCaller, "the caller has left"))
		}
	}
	var err error
	r.body, err = r.readBody(limit)
	switch {
	case int64(len(r.body)) > limit:
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
