package ingress

import (
	"io"
	"net/http"
	"strings"
	"time"

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
	body, fault := c.body(r, l)
	return &parsed{Request: r, body: body, arrived: time.Now()}, fault
}

// body reads a request's body whole, or says what is wrong with it.
func (c *serverConn) body(r *http.Request, l route.Limits) ([]byte, *Response) {
	most := l.BodyBytes
	if most == 0 {
		most = standardBodyBytes
	}
	if r.ContentLength > most {
		return nil, refusal(result.New(result.BodyTooLarge, ""))
	}
	if r.Body == http.NoBody {
		return nil, nil
	}
	c.limit.N = most + most/8 + bufferBytes // The marks between chunks come on top.
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, refusal(result.New(result.SlowCaller, "the caller has left"))
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	switch {
	case int64(len(body)) > most:
		return nil, refusal(result.New(result.BodyTooLarge, ""))
	case timedOut(err):
		return nil, refusal(result.New(result.SlowCaller, "the body did not come in time"))
	case err != nil:
		return nil, refusal(result.New(result.BadRequest, "the body broke off"))
	}
	return body, nil
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
