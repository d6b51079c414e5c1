package ingress

import (
	"cmp"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eiderfold/bodymemory"
	"eiderfold/result"
)

const (
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// maxDiscardBytes is how much of a body is read after its request was refused. The caller of a longer one needs
	// another connection.
	maxDiscardBytes = 256 << 10
	// Defaults for limits that no configuration sets.
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 16 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// parsed is a request as read from a connection, with its body.
type parsed struct {
	*http.Request
	body      []byte
	bodyLimit int64 // In bytes.
	arrived   time.Time
}

// header reads the header of one request, or returns the refusal of an invalid one.
func (c *serverConn) header() (*parsed, *Response) {
	l := c.server.limits()
	_ = c.SetReadDeadline(time.Now().Add(orDefaultTime(l.HeaderTimeout, defaultHeaderTimeout))) // Fails only on a closed connection, as the read does.
	r, err := c.head.ReadRequest(c.reader)
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
	return &parsed{Request: r, bodyLimit: cmp.Or(l.BodyBytes, defaultBodyBytes)}, nil
}

// expectsContinue reports whether the caller waits for "100 Continue" before it sends the body.
func (r *parsed) expectsContinue() bool {
	return r.Body != http.NoBody && strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1)
}

// request returns the request as it is served.
func (r *parsed) request() *Request {
	return &Request{Method: r.Method, RequestURI: r.RequestURI, URL: r.URL, Host: r.Host, Header: r.Header, Body: r.body, Arrived: r.arrived}
}

// refuseByHeader returns the refusal of a request whose body has not arrived whole and is not needed to refuse it.
func (c *serverConn) refuseByHeader(r *parsed) *Response {
	if r.ContentLength > r.bodyLimit {
		return refusal(result.New(result.BodyTooLarge, ""))
	}
	if r.Body == http.NoBody || r.ContentLength >= 0 && r.ContentLength <= int64(c.reader.Buffered()) {
		return nil
	}
	r.arrived = time.Now()
	if refused := c.server.checkHeader(r.request()); refused != nil {
		return refused
	}
	if !c.server.bodyMemory.Fits(bodymemory.CallerRequest, r.ContentLength) {
		return c.refuseBody()
	}
	return nil
}

// keeps reports whether the connection can be used further after a request that was refused without its body: not if
// the body is too long, or if it is not certain that it is sent.
func (p *pendingAnswer) keeps(r *parsed) bool {
	return !p.last && !p.expects && r.ContentLength >= 0 && r.ContentLength <= min(r.bodyLimit, maxDiscardBytes)
}

// discardBody reads a body that is not needed, and reports whether it arrived whole.
func (c *serverConn) discardBody(r *parsed) bool {
	c.limit.N = maxDiscardBytes + bufferBytes
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout)) // Fails only on a closed connection, as the read does.
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// body reads a request's body, or returns the refusal if it is invalid, late or too large.
func (c *serverConn) body(p *pendingAnswer, r *parsed) *Response {
	fault := c.bodyFault(p, r)
	r.arrived = time.Now()
	return fault
}

// bodyFault reads the body, and returns the refusal if that fails.
func (c *serverConn) bodyFault(p *pendingAnswer, r *parsed) *Response {
	if r.Body == http.NoBody {
		return nil
	}
	c.limit.N = r.bodyLimit + r.bodyLimit/8 + bufferBytes // Leaves space for chunk headers.
	err := c.awaitBody(p)
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		r.body, err = c.server.bodyMemory.ReadAll(bodymemory.CallerRequest, io.LimitReader(r.Body, r.bodyLimit+1), r.ContentLength)
	}
	switch {
	case int64(len(r.body)) > r.bodyLimit:
		return refusal(result.New(result.BodyTooLarge, ""))
	case errors.Is(err, bodymemory.ErrNone):
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
