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
	// bodyTimeout is how long a body may take from its first byte.
	bodyTimeout = 30 * time.Second
	// Limits while there is no configuration.
	standardHeaderBytes   = 64 << 10
	standardBodyBytes     = 16 << 20
	standardHeaderTimeout = 10 * time.Second
	standardIdleTimeout   = 60 * time.Second
)

// parsed is a request with what concerns its connection.
type parsed struct {
	*http.Request
	body    []byte
	share   *share // Of the node's room for bodies, for as long as it is held.
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
	p := &parsed{Request: r, share: &share{room: c.server.room}}
	fault := c.body(p, l)
	if fault != nil {
		p.share.release()
	}
	p.arrived = time.Now()
	return p, fault
}

// body reads a request's body whole, or says what is wrong with it.
func (c *serverConn) body(r *parsed, l route.Limits) *Response {
	most := l.BodyBytes
	if most == 0 {
		most = standardBodyBytes
	}
	if r.ContentLength > most {
		return refusal(result.New(result.BodyTooLarge, ""))
	}
	if r.Body == http.NoBody {
		return nil
	}
	c.limit.N = most + most/8 + bufferBytes // The marks between chunks come on top.
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return refusal(result.New(result.SlowCaller, "the caller has left"))
		}
	}
	var err error
	r.body, err = r.readBody(most)
	switch {
	case int64(len(r.body)) > most:
		return refusal(result.New(result.BodyTooLarge, ""))
	case errors.Is(err, errNoRoom):
		return c.noRoom()
	case timedOut(err):
		return refusal(result.New(result.SlowCaller, "the body did not come in time"))
	case err != nil:
		return refusal(result.New(result.BadRequest, "the body broke off"))
	}
	return nil
}

// readBody reads at most one byte more than most. Room is taken for what has come, so that
// a slow sender keeps no more than it has sent from others.
func (r *parsed) readBody(most int64) ([]byte, error) {
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, roomStep)) + bytes.MinRead) // Most fit, and need no second copy.
	}
	from := &stepReader{from: r.Body, share: r.share}
	_, err := body.ReadFrom(io.LimitReader(from, most+1))
	return body.Bytes(), err
}

// noRoom refuses a request whose body finds no memory. Nothing was sent anywhere.
func (c *serverConn) noRoom() *Response {
	c.server.noRoom()
	return refusal(result.New(result.Overloaded, "no room for the body").WithRetryAfter(backLater))
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
