package ingress

import (
	"net/http"
	"time"

	"eiderfold/link"
	"eiderfold/result"
)

// notConnected is the refusal that is assumed for a gate that was not reached.
var notConnected = &link.Refused{Reason: link.ReasonNotConnected}

// refused handles the refusal of an offer, which has not run.
func (f *inFlightRequest) refused(o *offer, m *link.Refused, now time.Time) *Response {
	if o.state == running || o.direct || o.state == unconfirmed {
		f.undoRun(o, m.Reason == link.ReasonShed || m.Reason == link.ReasonMisdirected)
	}
	f.removeOffer(o)
	if m.Reason == link.ReasonQuarantined {
		return f.refusedQuarantined(m, now)
	}
	if m.Reason == link.ReasonShed {
		f.noteShed(now)
	}
	if len(f.offers) > 0 {
		f.continueHedge(now)
		return nil
	}
	return f.tryNext(now)
}

// answered returns the answer, unless it is an error and the request may be repeated.
func (f *inFlightRequest) answered(o *offer, a *link.Answer, now time.Time) *Response {
	f.removeOffer(o)
	o.endpoint.responseTime.note(a.MeanResponseTime, now)
	f.forwarder.endpoints.statements.note(o.upstream, f.forwarder.dialect.Statement(a.Header), now)
	r := &Response{Status: a.Status, Header: a.Header, Body: a.Body}
	if a.Status < http.StatusInternalServerError {
		f.latency.Add(now.Sub(o.started))
		return r
	}
	f.fallback = r
	f.repeatCause = causeError
	if a.BudgetSpent {
		f.budgetSpent = true
		f.forwarder.count("nested_budget_spent")
	}
	if !f.mayRepeat(now) {
		return f.unlessBusy(r)
	}
	return f.tryNext(now)
}

// unlessBusy returns a response unless another attempt may bring a better one.
func (f *inFlightRequest) unlessBusy(r *Response) *Response {
	if f.busy() {
		return nil
	}
	return r
}

// failed handles an attempt of unknown outcome: it repeats the request if it may run
// again.
func (f *inFlightRequest) failed(o *offer, m *link.Failed, now time.Time) *Response {
	f.removeOffer(o)
	f.unknownReason = m.Detail
	f.repeatCause = causeFailure
	if f.noteCrash(m.Record, now) || !f.mayRepeat(now) {
		return f.unlessBusy(f.final(now))
	}
	return f.tryNext(now)
}

// retryAfter returns the retry-after of a refusal, in whole milliseconds.
func (f *inFlightRequest) retryAfter() time.Duration {
	draw := f.forwarder.endpoints.draw()
	if f.lastRefusal == link.ReasonLimited {
		return f.requirements.RetryAfterLimit(f.minRetryAfter, draw).Round(time.Millisecond)
	}
	return f.requirements.RetryAfter(f.minRetryAfter, draw).Round(time.Millisecond)
}

// noteRetryAfter keeps the shortest retry-after of the gates that refused the request, for the
// refusal that its caller may get.
func (f *inFlightRequest) noteRetryAfter(after time.Duration) {
	if after > 0 && (f.minRetryAfter == 0 || after < f.minRetryAfter) {
		f.minRetryAfter = after
	}
}

// final returns the answer when no further attempt is made.
func (f *inFlightRequest) final(now time.Time) *Response {
	switch {
	case f.fallback != nil:
		return f.fallback
	case f.runs > 0 && !now.Before(f.deadline):
		return refusal(result.New(result.AnswerLate, f.unknownReason))
	case f.runs > 0:
		return refusal(result.New(result.OutcomeUnknown, f.unknownReason))
	case f.quarantineLeft > 0:
		return f.quarantined()
	case len(f.forwarder.endpoints.Of(f.service)) == 0:
		return refusal(result.New(result.NoUpstream, f.service).WithRetryAfter(f.retryAfter()))
	case f.lastRefusal == link.ReasonShed:
		return refusal(result.New(result.UpstreamShed, f.service).WithRetryAfter(f.retryAfter()))
	default:
		return refusal(result.New(result.Overloaded, f.lastRefusal.String()).WithRetryAfter(f.retryAfter()))
	}
}
