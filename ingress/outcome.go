package ingress

import (
	"net/http"
	"time"

	"eiderfold/link"
	"eiderfold/result"
)

// notConnected stands for the refusal of a gate that was not reached.
var notConnected = &link.Refused{Reason: link.ReasonNotConnected}

// refused takes an offer out that has not run.
func (f *flight) refused(o *offer, m *link.Refused, now time.Time) *Response {
	if o.state == running || o.direct || o.state == doubtful {
		f.uncount(o, m.Reason == link.ReasonShed || m.Reason == link.ReasonMisdirected)
	}
	f.forget(o)
	if m.Reason == link.ReasonQuarantined {
		return f.heldBack(m, now)
	}
	if len(f.offers) > 0 {
		f.hedgeOn(now)
		return nil
	}
	return f.again(now)
}

// answered returns the answer, unless it is an error that a repeat may better.
func (f *flight) answered(o *offer, a *link.Answer, now time.Time) *Response {
	f.forget(o)
	o.target.pace.note(a.Usual, now)
	r := &Response{Status: a.Status, Header: a.Header, Body: a.Body}
	if a.Status < http.StatusInternalServerError {
		f.usual.Add(now.Sub(o.started))
		return r
	}
	f.fallback = r
	f.cause = causeError
	if !f.mayRepeat(now) {
		return f.onlyIfAlone(r)
	}
	return f.again(now)
}

// onlyIfAlone returns an answer unless another attempt may bring a better one.
func (f *flight) onlyIfAlone(r *Response) *Response {
	if f.busy() {
		return nil
	}
	return r
}

// failed repeats what may have run, if it may run again.
func (f *flight) failed(o *offer, m *link.Failed, now time.Time) *Response {
	f.forget(o)
	f.doubt = m.Detail
	f.cause = causeFailure
	if f.noteEnd(m.Record, now) || !f.mayRepeat(now) {
		return f.onlyIfAlone(f.final(now))
	}
	return f.again(now)
}

// comeBack is when a caller that is refused now shall come back. Milliseconds are enough.
func (f *flight) comeBack() time.Duration {
	return f.terms.ComeBack(f.soonest, f.forwarder.targets.draw()).Round(time.Millisecond)
}

// noteWait takes note of when a gate that turned the request away may be asked again.
func (f *flight) noteWait(after time.Duration) {
	if after > 0 && (f.soonest == 0 || after < f.soonest) {
		f.soonest = after
	}
}

// final is the answer when no further attempt is made.
func (f *flight) final(now time.Time) *Response {
	switch {
	case f.fallback != nil:
		return f.fallback
	case f.runs > 0 && !now.Before(f.deadline):
		return refusal(result.New(result.AnswerLate, f.doubt))
	case f.runs > 0:
		return refusal(result.New(result.OutcomeUnknown, f.doubt))
	case f.held > 0:
		return f.quarantined()
	case len(f.forwarder.targets.Of(f.service)) == 0:
		return refusal(result.New(result.NoUpstream, f.service).WithRetryAfter(f.comeBack()))
	case f.last == link.ReasonShed:
		return refusal(result.New(result.UpstreamShed, f.service).WithRetryAfter(f.comeBack()))
	default:
		return refusal(result.New(result.Overloaded, f.last.String()).WithRetryAfter(f.comeBack()))
	}
}
