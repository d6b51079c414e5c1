package proxy

import (
	"bytes"
	"context"
	"io"
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
	"eiderfold/result"
)

// Headers between callers, nodes and upstreams.
const (
	// KeyHeader names a caller's operation.
	KeyHeader = "Idempotency-Key"
	// TimeoutHeader is how long the caller will wait, such as 800ms.
	TimeoutHeader = "Eiderfold-Timeout"
	// DeadlineHeader tells an upstream until when an answer is of use, in Unix
	// milliseconds. It must not start the work after that.
	DeadlineHeader = "Eiderfold-Deadline"
	// AccountHeader tells an upstream the client account.
	AccountHeader = "Eiderfold-Account"
	// StateHeader is "leaving" on an upstream's refusal when it is on its way out.
	StateHeader = "Upstream-State"
	// NodeHeader tells which node answered, for finding a fault.
	NodeHeader = "Eiderfold-Node"

	stateLeaving = "leaving"
	// prefixBytes of an answer are read before the caller gets its head, so that
	// a short answer that breaks off can still become a retry or an honest code.
	prefixBytes = 32 << 10
)

// call is one request on its way through the node.
type call struct {
	template string
	account  *config.Account
	route    *config.Route
	service  *Service
	usual    *core.Usual
	request  *http.Request
	path     string // Without the account.
	body     []byte // Read whole, if it was short enough.
	stream   io.Reader
	deadline time.Time
}

// rewindable reports whether the body can be sent again.
func (c *call) rewindable() bool { return c.stream == nil }

// answer is an upstream's answer whose first part has been read.
type answer struct {
	response *http.Response
	prefix   []byte
	whole    bool // prefix is all of the body.
	cancel   context.CancelFunc
}

func (a *answer) close() {
	_ = a.response.Body.Close() // Read-only; nothing is lost by an error.
	a.cancel()
}

// reason is why an attempt brought no answer.
type reason int

const (
	notSent  reason = iota // Proof that the upstream got nothing.
	shed                   // The upstream refused it by contract.
	broken                 // It was sent, and what became of it is not known.
	late                   // The deadline passed after it was sent.
	deserted               // The caller went away.
)

// failure is an attempt without an answer.
type failure struct {
	reason reason
	detail string
	pause  time.Duration // With shed: when to come back.
}

// proven reports whether the operation is known not to have run.
func (f *failure) proven() bool { return f.reason == notSent || f.reason == shed }

// result turns the failure into what the caller is told.
func (f *failure) result() *result.Error {
	switch f.reason {
	case notSent:
		return result.New(result.ConnectFailed, f.detail).WithRetryAfter(leastRetry)
	case shed:
		return result.New(result.UpstreamShed, f.detail).WithRetryAfter(max(f.pause, leastRetry))
	case late:
		return result.New(result.AnswerLate, f.detail)
	default:
		return result.New(result.OutcomeUnknown, f.detail)
	}
}

// attempt is one sending of a call to an upstream that has been taken.
type attempt struct {
	call      *call
	upstream  *Upstream
	single    bool // On a connection of its own.
	started   time.Time
	flight    *flight
	cancel    context.CancelFunc
	connected atomic.Bool // Only kept for a single one.
}

// exchange sends one attempt, and gives the upstream's slot back when the answer
// has ended.
func (h *Handler) exchange(ctx context.Context, c *call, u *Upstream, single bool) (*answer, *failure) {
	t := &attempt{call: c, upstream: u, single: single, started: time.Now()}
	ctx, t.cancel = context.WithDeadline(ctx, c.deadline)
	t.flight = u.depart(t.started, c.usual.Cut(), c.usual.Stall())
	response, err := t.send(ctx)
	if err != nil {
		return nil, t.fail(c.classify(err))
	}
	if refused := refusal(u, response); refused != nil {
		_ = response.Body.Close() // What a refusal says is not passed on.
		return nil, t.fail(refused)
	}
	a := &answer{response: response, cancel: t.cancel}
	if failed := a.readPrefix(c); failed != nil {
		_ = response.Body.Close() // It broke off.
		return nil, t.fail(failed)
	}
	now := time.Now()
	h.judge(c, u, t.flight, response.StatusCode, now)
	if a.whole {
		c.service.done(u, now.Sub(t.started))
		return a, nil
	}
	a.cancel = t.end
	return a, nil
}

// send makes the round trip. A single one notes whether it had a connection.
func (t *attempt) send(ctx context.Context) (*http.Response, error) {
	if !t.single {
		return t.upstream.shared.RoundTrip(t.call.outgoing(ctx, t.upstream, false))
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	return t.upstream.single.RoundTrip(t.call.outgoing(ctx, t.upstream, true))
}

// fail ends an attempt without an answer.
func (t *attempt) fail(f *failure) *failure {
	t.upstream.land(t.flight, f.evidence(), time.Now())
	if t.single && !t.connected.Load() {
		// Whatever went wrong, there was never a connection to send it on.
		f.reason = notSent
	}
	t.end()
	return f
}

// end gives the slot back.
func (t *attempt) end() {
	t.cancel()
	t.call.service.done(t.upstream, time.Since(t.started))
}

// judge decides what an answer's status says of the upstream.
func (h *Handler) judge(c *call, u *Upstream, f *flight, status int, now time.Time) {
	if status < http.StatusInternalServerError {
		h.blame.cleared(c.account)
		u.land(f, good, now)
		if f.counted.Load() != countedFailed && !h.suspects(u) {
			c.usual.Add(now.Sub(f.started))
		}
		return
	}
	if h.blame.callers(c.account, u, now) {
		u.land(f, noEvidence, now)
		return
	}
	u.land(f, bad, now)
}

// outgoing builds the request to the upstream. Its body never lets the transport
// rewind it: net/http sends a request with an Idempotency-Key again by itself
// when a kept connection breaks, if it can rewind the body or there is none.
func (c *call) outgoing(ctx context.Context, u *Upstream, single bool) *http.Request {
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
	case single:
		out.Body = noRewind{}
	}
	return out
}

// noRewind is an empty body that the transport does not know to be empty.
type noRewind struct{}

func (noRewind) Read([]byte) (int, error) { return 0, io.EOF }
func (noRewind) Close() error             { return nil }

// refusal recognises an upstream that sheds or leaves: 503 or 429 with
// Retry-After, which by contract says that the work was not started.
func refusal(u *Upstream, r *http.Response) *failure {
	if r.StatusCode != http.StatusServiceUnavailable && r.StatusCode != http.StatusTooManyRequests {
		return nil
	}
	if r.Header.Get(StateHeader) == stateLeaving {
		u.refusing.Store(true)
		return &failure{reason: shed, detail: u.name + " is leaving"}
	}
	seconds, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil {
		return nil
	}
	// The pause is ours to choose: Retry-After speaks in whole seconds, and an
	// upstream of a few slots is free again much sooner.
	u.sheds.Store(time.Now().Add(shedPause).UnixNano())
	return &failure{reason: shed, detail: u.name + " sheds", pause: time.Duration(seconds) * time.Second}
}

// readPrefix reads the first part of the body, and with a short answer all.
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
		a.whole = int64(len(text)) == a.response.ContentLength || c.request.Method == http.MethodHead
		return nil
	}
	a.whole = len(text) < prefixBytes
	return nil
}

// classify tells from an error how far an attempt came.
func (c *call) classify(err error) *failure {
	var connect *connectError
	switch {
	case errors.As(err, &connect):
		if c.request.Context().Err() != nil {
			return &failure{reason: deserted, detail: "the caller went away"}
		}
		return &failure{reason: notSent, detail: err.Error()}
	case c.request.Context().Err() != nil:
		return &failure{reason: deserted, detail: "the caller went away"}
	case errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(c.deadline):
		return &failure{reason: late, detail: "no answer within the deadline"}
	default:
		return &failure{reason: broken, detail: err.Error()}
	}
}

// evidence is what a failure says of the upstream. A passed deadline says nothing
// by itself: it may have been too short, and Watch has counted what was late.
func (f *failure) evidence() outcome {
	switch f.reason {
	case notSent, broken:
		return bad
	default:
		return noEvidence
	}
}
