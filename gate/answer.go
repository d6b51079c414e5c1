package gate

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eiderfold/bodymemory"
	"eiderfold/link"
	"eiderfold/port"
)

const (
	// maxAnswerBytes bounds an answer's body, which is buffered in memory.
	maxAnswerBytes = 64 << 20
	// maxHeadBytes bounds an answer's head together with the interim answers before it: many times the size
	// of a request's head that callers may send.
	maxHeadBytes = 256 << 10
	// maxHealthBytes bounds the body of the answer to a health check, which is not used.
	maxHealthBytes = 64 << 10
)

// errBodyTooLarge is returned for an answer whose body is larger than it may be, or does not end.
var errBodyTooLarge = errors.New("answer's body is too large")

// answer is a complete response of the upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
	readAt time.Time // When its header was read.
	said   statement
	rest   *http.Response // Until the body is read.
}

// classify checks by its head whether an answer comes from the upstream itself, and returns a failure if not.
func classify(a *answer, meta port.ResponseMetadata) *failure {
	switch {
	case meta.NotRun && a.status == http.StatusMisdirectedRequest:
		return &failure{outcome: Replaced, reason: link.ReasonMisdirected, detail: "the address is held by " + meta.Upstream, holder: meta.Upstream}
	case meta.NotRun:
		return &failure{outcome: Shed, reason: link.ReasonShed, detail: "refused with status " + strconv.Itoa(a.status)}
	case meta.Attempt == "":
		return &failure{outcome: Broken, detail: "an answer that names no request"}
	case a.header.Get("Content-Encoding") != "":
		return &failure{outcome: Broken, detail: "an answer in an encoding that nobody asked for"}
	case !meta.Genuine && a.status < http.StatusBadRequest:
		return &failure{outcome: Broken, detail: "a success that no upstream made"}
	case impliesNotRun(a.status):
		// Without the upstream's not-run header the request may have run, but the status would
		// tell the caller that it has not.
		return &failure{outcome: Erred, detail: "status " + strconv.Itoa(a.status) + " without the mark of a refusal"}
	default:
		return nil
	}
}

// impliesNotRun reports whether a status means that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// failed returns the failure for a missing answer. A timeout is no evidence against the
// upstream, since the deadline may have been short.
func (c *client) failed(err, writeErr error) *failure {
	switch {
	case errors.Is(err, bodymemory.ErrNone):
		return &failure{outcome: NoEvidence, detail: "answer: " + err.Error()}
	case timedOut(err):
		return &failure{outcome: NoEvidence, detail: "no answer within the deadline"}
	}
	if writeErr != nil && !timedOut(writeErr) {
		return &failure{outcome: Broken, detail: "send: " + writeErr.Error(), closedByPeer: true}
	}
	return &failure{outcome: Broken, detail: err.Error(), closedByPeer: closedByPeer(err)}
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// closedByPeer reports whether an error means that the upstream closed the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// read reads the head of one final answer from the connection.
func (c *client) read(conn *upstreamConn, method string) (*answer, error) {
	response, err := readHead(conn, method)
	if err != nil {
		return nil, err
	}
	conn.idleUntil = time.Now().Add(keepAliveTimeout(response.Header))
	return &answer{status: response.StatusCode, header: response.Header, readAt: time.Now(), rest: response}, nil
}

// readBody reads an answer's body.
func (c *client) readBody(conn *upstreamConn, a *answer) error {
	limit := int64(maxAnswerBytes)
	if a.rest.ContentLength < 0 {
		limit = min(limit, c.memory.UnannouncedLimit(bodymemory.Answer))
	}
	err := copyBody(conn, a.rest, limit, func(body io.Reader) (n int64, err error) {
		a.body, err = c.memory.ReadAll(bodymemory.Answer, body, bodyLength(a.rest))
		return int64(len(a.body)), err
	})
	return err
}

// bodyLength returns the length of a response's body, or bodymemory.UnknownLength.
func bodyLength(r *http.Response) int64 {
	if r.Body == http.NoBody {
		return 0 // The length may be that of the body which an answer to HEAD does not have.
	}
	return r.ContentLength
}

// discardBody reads a body that is not used, of at most limit bytes.
func discardBody(conn *upstreamConn, a *answer, limit int64) error {
	return copyBody(conn, a.rest, limit, func(body io.Reader) (int64, error) { return io.Copy(io.Discard, body) })
}

// copyBody passes a body of at most limit bytes to read, which returns how many it has read.
func copyBody(conn *upstreamConn, response *http.Response, limit int64, read func(io.Reader) (int64, error)) error {
	if bodyLength(response) > limit {
		return errBodyTooLarge
	}
	conn.limit.N = limit + limit/8 + readBufferBytes // Leaves space for chunk headers.
	n, err := read(io.LimitReader(response.Body, limit+1))
	if n > limit || err != nil && conn.limit.N <= 0 {
		return errBodyTooLarge
	}
	return errors.Wrap(err, "answer's body")
}

// readHead reads the head of a final answer and the interim answers before it.
func readHead(conn *upstreamConn, method string) (*http.Response, error) {
	conn.limit.N = maxHeadBytes
	for {
		response, err := conn.head.ReadResponse(conn.reader, method)
		switch {
		case err != nil && conn.limit.N <= 0:
			return nil, errors.New("answer's head is too large")
		case err != nil:
			return nil, errors.Wrap(err, "answer")
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
		// 1xx: the final answer follows.
	}
}

// failure describes why an attempt got no answer.
type failure struct {
	outcome      Outcome
	reason       link.Reason   // Set only if the request has certainly not run.
	retryAfter   time.Duration // When it may be sent again, with a reason; 0 for no advice.
	detail       string
	closedByPeer bool // The upstream closed the connection.
	// processEnded is set if nothing listened at the upstream's address when the attempt failed.
	processEnded bool
	holder       string    // ID of the incarnation that holds the address, if the outcome is Replaced.
	said         statement // What the upstream's refusal says of the upstream.
}
