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
	memory *bodymemory.Reservation // For the body; nil for none.
}

// release frees the memory that the body has reserved, once the answer has been passed on.
func (a *answer) release() {
	if a != nil && a.memory != nil {
		a.memory.Release()
	}
}

// classify checks whether an answer is complete and comes from the upstream itself, and returns
// a failure if not.
func (c *client) classify(a *answer, meta port.ResponseMetadata, reusable bool) (*answer, bool, *failure) {
	switch {
	case meta.NotRun && a.status == http.StatusMisdirectedRequest:
		return nil, reusable, &failure{outcome: Replaced, reason: link.ReasonMisdirected, detail: "the address is held by " + meta.Upstream}
	case meta.NotRun:
		return nil, reusable, &failure{outcome: Shed, reason: link.ReasonShed, detail: "refused with status " + strconv.Itoa(a.status)}
	case meta.Attempt == "":
		return nil, false, &failure{outcome: Broken, detail: "an answer that names no request"}
	case a.header.Get("Content-Encoding") != "":
		return nil, false, &failure{outcome: Broken, detail: "an answer in an encoding that nobody asked for"}
	case !meta.Genuine && a.status < http.StatusBadRequest:
		return nil, false, &failure{outcome: Broken, detail: "a success that no upstream made"}
	case impliesNotRun(a.status):
		// Without the upstream's not-run header the request may have run, but the status would
		// tell the caller that it has not.
		return nil, reusable, &failure{outcome: Erred, detail: "status " + strconv.Itoa(a.status) + " without the mark of a refusal"}
	default:
		return a, reusable, nil
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

// read reads one final answer from the connection, with a body of at most the given size.
func (c *client) read(conn *upstreamConn, method string, bodyLimit int64) (*answer, bool, error) {
	response, err := readHead(conn, method)
	if err != nil {
		return nil, false, err
	}
	a := &answer{status: response.StatusCode, header: response.Header, readAt: time.Now(), memory: c.memory.Reservation()}
	if response.ContentLength < 0 {
		bodyLimit = min(bodyLimit, c.memory.Limit()) // Nothing shows that it ends.
	}
	if a.body, err = readBody(conn, response, a.memory, bodyLimit); err != nil {
		a.release()
		return nil, false, err
	}
	conn.idleUntil = time.Now().Add(keepAliveTimeout(response.Header))
	return a, !response.Close && conn.reader.Buffered() == 0, nil
}

// readHead reads the head of a final answer and the interim answers before it.
func readHead(conn *upstreamConn, method string) (*http.Response, error) {
	conn.limit.N = maxHeadBytes
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
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

// readBody reads an answer's body of at most limit bytes.
func readBody(conn *upstreamConn, response *http.Response, memory *bodymemory.Reservation, limit int64) ([]byte, error) {
	if response.ContentLength > limit && response.Body != http.NoBody {
		return nil, errBodyTooLarge
	}
	conn.limit.N = limit + limit/8 + readBufferBytes // Leaves space for chunk headers.
	body, err := io.ReadAll(io.LimitReader(memory.Reader(response.Body), limit+1))
	switch {
	case int64(len(body)) > limit || err != nil && conn.limit.N <= 0:
		return nil, errBodyTooLarge
	case err != nil:
		return nil, errors.Wrap(err, "answer's body")
	}
	return body, nil
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
	said         statement // What the upstream's refusal says of the upstream.
}
