package proxy

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eiderfold/config"
	"eiderfold/core"
	"eiderfold/hop"
	"eiderfold/httphead"
	"eiderfold/result"
)

// Headers between callers, nodes and upstreams.
const (
	// KeyHeader names a caller's operation.
	KeyHeader = "Idempotency-Key"
	// TimeoutHeader is the caller's timeout, such as 800ms.
	TimeoutHeader = "Eiderfold-Timeout"
	// DeadlineHeader is the request's deadline in Unix milliseconds. An upstream
	// must not start the work after it.
	DeadlineHeader = "Eiderfold-Deadline"
	// AccountHeader names the client account to the upstream.
	AccountHeader = "Eiderfold-Account"
	// AttemptHeader names one attempt of a retryable request. An upstream that repeats it in its answers gets
	// further requests on the same connection; another one could send a late copy of an answer that would be taken
	// for the answer to the next request, so that each request gets a connection of its own.
	AttemptHeader = "Eiderfold-Attempt"
	// StateHeader is "leaving" when an upstream refuses a request because it is
	// shutting down.
	StateHeader = "Upstream-State"
	// NodeHeader names the node that answered, for debugging.
	NodeHeader = "Eiderfold-Node"

	stateLeaving = "leaving"
	// prefixBytes of an answer are read before its header is sent to the caller, so
	// that a short answer that breaks off can still be retried or get a result code.
	prefixBytes = 32 << 10
)

// call holds the state of one caller's request.
type call struct {
	template string
	account  *config.Account
	route    *config.Route
	service  *Service
	latency  *core.LatencyPercentile
	request  *http.Request
	path     string    // Without the account segment.
	body     []byte    // The complete body, unless stream is set.
	stream   io.Reader // A body that is not buffered; see readBody.
	deadline time.Time
}

// rewindable reports whether the body can be sent again.
func (c *call) rewindable() bool { return c.stream == nil }

// answer is an upstream's response, of which a prefix has been read.
type answer struct {
	response *http.Response
	prefix   []byte
	complete bool // prefix is the complete body.
	cancel   context.CancelFunc
}

func (a *answer) close() {
	_ = a.response.Body.Close() // Only read from.
	a.cancel()
}

// reason is why an attempt returned no answer.
type reason int

const (
	notSent     reason = iota // The upstream certainly received nothing.
	shed                      // The upstream refused it without running it.
	unconfirmed               // It may have been sent; the connection broke.
	timedOut                  // It may have been sent; the deadline passed.
	callerGone                // The caller disconnected.
)

// failure is an attempt without an answer.
type failure struct {
	reason     reason
	detail     string
	retryAfter time.Duration // Set with reason shed.
}

// notRun reports whether the operation is known not to have run.
func (f *failure) notRun() bool { return f.reason == notSent || f.reason == shed }

// result returns the result to send to the caller.
func (f *failure) result() *result.Error {
	switch f.reason {
	case notSent:
		return result.New(result.ConnectFailed, f.detail).WithRetryAfter(minRetryAfter)
	case shed:
		return result.New(result.UpstreamShed, f.detail).WithRetryAfter(max(f.retryAfter, minRetryAfter))
	case timedOut:
		return result.New(result.AnswerLate, f.detail)
	default:
		return result.New(result.OutcomeUnknown, f.detail)
	}
}

// attempt sends a call once, to an upstream of which it holds a slot.
type attempt struct {
	call      *call
	upstream  *Upstream
	dedicated bool   // Uses a connection of its own.
	id        string // Sent in AttemptHeader unless dedicated.
	started   time.Time
	inFlight  *inFlightRequest
	cancel    context.CancelFunc
	conn      atomic.Pointer[httptrace.GotConnInfo] // nil until there is a connection.
}

// exchange makes one attempt. The upstream's slot is released at the end of the
// answer.
func (h *Handler) exchange(ctx context.Context, c *call, u *Upstream, dedicated bool) (*answer, *failure) {
	t := &attempt{call: c, upstream: u, dedicated: dedicated, started: time.Now()}
	ctx, t.cancel = context.WithDeadline(ctx, c.deadline)
	t.inFlight = u.track(t.started, c.latency.Threshold(), c.latency.StallThreshold())
	response, err := t.send(ctx)
	if err != nil {
		return nil, t.fail(c.classify(err))
	}
	if err := httphead.CheckResponse(response); err != nil {
		_ = t.conn.Load().Conn.Close() // What follows on it is not known.
		_ = response.Body.Close()
		return nil, t.fail(&failure{reason: unconfirmed, detail: err.Error()})
	}
	if foreign := t.identify(response); foreign != nil {
		return nil, t.fail(foreign)
	}
	if refused := refusal(u, response); refused != nil {
		_ = response.Body.Close() // A refusal's body is not relayed.
		return nil, t.fail(refused)
	}
	a := &answer{response: response, cancel: t.cancel}
	if failed := a.readPrefix(c); failed != nil {
		_ = response.Body.Close() // The body broke off.
		return nil, t.fail(failed)
	}
	now := time.Now()
	h.recordStatus(c, u, t.inFlight, response.StatusCode, now)
	if a.complete {
		c.service.releaseSlot(u, now.Sub(t.started))
		return a, nil
	}
	a.cancel = t.release
	return a, nil
}

// send makes the round trip, and records the connection.
func (t *attempt) send(ctx context.Context) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { t.conn.Store(&c) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	out := t.call.outgoing(ctx, t.upstream, t.dedicated)
	if t.dedicated {
		return t.upstream.dedicated.RoundTrip(out)
	}
	t.id = strconv.FormatUint(rand.Uint64(), 16)
	out.Header.Set(AttemptHeader, t.id)
	out.Close = !t.upstream.namesAttempts.Load()
	return t.upstream.shared.RoundTrip(out)
}

// identify checks that an answer is that to the attempt, and returns a failure if it may be that to an earlier one on
// the same connection, which is closed then.
func (t *attempt) identify(response *http.Response) *failure {
	id := response.Header.Get(AttemptHeader)
	response.Header.Del(AttemptHeader)
	if t.dedicated {
		return nil
	}
	t.upstream.namesAttempts.Store(id != "")
	conn := t.conn.Load()
	if id == t.id || id == "" && !conn.Reused {
		return nil
	}
	_ = conn.Conn.Close() // Nothing else can follow on it.
	_ = response.Body.Close()
	return &failure{reason: unconfirmed, detail: "an answer to another request"}
}

// fail finishes an attempt without an answer.
func (t *attempt) fail(f *failure) *failure {
	t.upstream.finish(t.inFlight, f.evidence(), time.Now())
	if t.dedicated && t.conn.Load() == nil {
		// Without a connection nothing was sent, whatever the error.
		f.reason = notSent
	}
	t.release()
	return f
}

// release cancels the attempt's context and releases the slot.
func (t *attempt) release() {
	t.cancel()
	t.call.service.releaseSlot(t.upstream, time.Since(t.started))
}

// recordStatus records an answer's status as evidence about the upstream.
func (h *Handler) recordStatus(c *call, u *Upstream, f *inFlightRequest, status int, now time.Time) {
	if status < http.StatusInternalServerError {
		h.attributor.recordSuccess(c.account)
		u.finish(f, good, now)
		if f.counted.Load() != countedFailed && !h.isSuspect(u) {
			c.latency.Add(now.Sub(f.started))
		}
		return
	}
	if h.attributor.recordError(c.account, u, now) {
		u.finish(f, noEvidence, now)
		return
	}
	u.finish(f, bad, now)
}

// outgoing builds the request to the upstream. Its body cannot be rewound by the
// transport: net/http itself resends a request with an Idempotency-Key when a
// reused connection breaks, if the body is rewindable or empty.
func (c *call) outgoing(ctx context.Context, u *Upstream, dedicated bool) *http.Request {
	out := (&http.Request{
		Method:     c.request.Method,
		URL:        &url.URL{Scheme: "http", Host: u.address, Path: c.path, RawQuery: c.request.URL.RawQuery},
		Host:       c.request.Host,
		Header:     c.request.Header.Clone(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(ctx)
	hop.Strip(out.Header)
	out.Header.Set(DeadlineHeader, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	out.Header.Set(AccountHeader, c.account.Name())
	c.account.EachHeader(c.route, out.Header.Set)
	if from, _, err := net.SplitHostPort(c.request.RemoteAddr); err == nil {
		out.Header.Set("X-Forwarded-For", from)
	}
	switch {
	case c.stream != nil:
		out.Body = io.NopCloser(c.stream)
		out.ContentLength = c.request.ContentLength
	case len(c.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(c.body))
		out.ContentLength = int64(len(c.body))
	case dedicated:
		out.Body = noRewind{}
	}
	return out
}

// noRewind is an empty body that the transport cannot recognize as empty.
type noRewind struct{}

func (noRewind) Read([]byte) (int, error) { return 0, io.EOF }
func (noRewind) Close() error             { return nil }

// refusal returns a failure if the upstream sheds load or is leaving, and nil
// otherwise. It sheds load with 503 or 429 and Retry-After, which by contract
// means that the work was not started.
func refusal(u *Upstream, r *http.Response) *failure {
	if r.StatusCode != http.StatusServiceUnavailable && r.StatusCode != http.StatusTooManyRequests {
		return nil
	}
	if r.Header.Get(StateHeader) == stateLeaving {
		u.leaving.Store(true)
		return &failure{reason: shed, detail: u.name + " is leaving"}
	}
	seconds, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil {
		return nil
	}
	// Retry-After has a resolution of one second, but an upstream with few slots
	// has a free one again much sooner.
	u.shedUntil.Store(time.Now().Add(shedPause).UnixNano())
	return &failure{reason: shed, detail: u.name + " sheds", retryAfter: time.Duration(seconds) * time.Second}
}

// readPrefix reads up to prefixBytes of the body, unless its declared length is
// larger.
func (a *answer) readPrefix(c *call) *failure {
	if a.response.ContentLength > prefixBytes {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(a.response.Body, prefixBytes))
	a.prefix = text
	if err != nil {
		return c.classify(err)
	}
	if a.response.ContentLength >= 0 {
		a.complete = int64(len(text)) == a.response.ContentLength || c.request.Method == http.MethodHead
		return nil
	}
	a.complete = len(text) < prefixBytes
	return nil
}

// classify derives from an error whether the attempt was sent.
func (c *call) classify(err error) *failure {
	var connect *connectError
	switch {
	case errors.As(err, &connect):
		if c.request.Context().Err() != nil {
			return &failure{reason: callerGone, detail: "the caller went away"}
		}
		return &failure{reason: notSent, detail: err.Error()}
	case c.request.Context().Err() != nil:
		return &failure{reason: callerGone, detail: "the caller went away"}
	case errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(c.deadline):
		return &failure{reason: timedOut, detail: "no answer within the deadline"}
	default:
		return &failure{reason: unconfirmed, detail: err.Error()}
	}
}

// evidence returns what a failure implies about the upstream. A missed deadline
// alone is no evidence: it may have been too short, and CountSlow counts slow requests.
func (f *failure) evidence() outcome {
	switch f.reason {
	case notSent, unconfirmed:
		return bad
	default:
		return noEvidence
	}
}
