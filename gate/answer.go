package gate

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eiderfold/link"
	"eiderfold/port"
)

// maxAnswerBytes bounds an answer, which is held whole; as large as a body.
const maxAnswerBytes = 64 << 20

// answer is what the upstream said, whole.
type answer struct {
	status int
	header http.Header
	body   []byte
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

// failed tells what a missing answer says of the upstream: nothing if it was only
// late, since the deadline may have been short.
func (c *client) failed(err, sent error) *failure {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return &failure{outcome: NoEvidence, detail: "no answer within the deadline"}
	}
	if sent != nil {
		return &failure{outcome: Broken, detail: "send: " + sent.Error(), cut: true}
	}
	return &failure{outcome: Broken, detail: err.Error(), cut: cut(err)}
}

// cut tells whether an error says that the other side ended the connection.
func cut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
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

// failure is why an attempt brought no answer.
type failure struct {
	outcome Outcome
	reason  link.Reason // Set when the request has not run for certain.
	detail  string
	cut     bool // The upstream ended the connection.
	// processEnded says that the upstream's process was gone when the attempt had broken.
	processEnded bool
}
