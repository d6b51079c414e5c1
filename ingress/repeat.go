package ingress

import (
	"cmp"
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/switches"
)

const (
	// maxBudgetDenials is how many gates without budget are asked for a repeat: if three
	// gates have none, the service has little left.
	maxBudgetDenials = 3
	// maxBudgetDenialsShed replaces it for a request that was shed and has not run: its caller
	// gets a refusal that says so, and may find another node that can serve it.
	maxBudgetDenialsShed = 2
	// A retryable request is sent a second time after hedgeFactor times the route's 95th
	// latency percentile, which about one in fifty normal answers exceeds.
	hedgeFactor = 1.4
	// hedgePause is the pause after no gate accepted a hedge, about one response time.
	hedgePause = 200 * time.Millisecond
	// roundPause is the pause after all gates refused, doubled up to maxRoundPause.
	roundPause    = 20 * time.Millisecond
	maxRoundPause = 160 * time.Millisecond
)

// Causes of a repeat, as named in metrics.
const (
	causeHedge        = "hedge"
	causeUnresponsive = "silent"
	causeError        = "after_error"
	causeFailure      = "after_failure"
	causeShed         = "shed"
	causeNested       = "nested" // No repeat itself, but nested in one.
)

// attemptKind returns the budget's kind of the next attempt.
func (f *inFlightRequest) attemptKind() budget.AttemptKind {
	switch {
	case f.deliveries > 0 && f.repeatCause == causeHedge:
		return budget.Hedge
	case f.deliveries > 0:
		return budget.FailureRetry
	case f.inRepeat:
		return budget.Charged
	default:
		return budget.First
	}
}

// noteBudget records a refusal by a gate that has no budget for a repeat.
func (f *inFlightRequest) noteBudget(now time.Time) {
	if f.lastRefusal != link.ReasonBudget {
		return
	}
	f.budgetDenials++
	f.forwarder.endpoints.noteBudgetExhausted(f.service, now)
	f.forwarder.count("no_budget_" + cmp.Or(f.repeatCause, causeNested))
}

// noteShed records that an upstream shed the request. If no attempt of it has run or waits, it is
// refused once it can no longer be answered by its target deadline: it would use budget that others
// need to be answered in time.
func (f *inFlightRequest) noteShed(now time.Time) {
	if len(f.offers) > 0 || f.runs > 0 {
		return
	}
	f.repeatCause = causeShed
	if f.forwarder.endpoints.switches.On(switches.UrgentRepeats) {
		f.refuseAt = f.requirements.RepeatShedUntil(f.usualTime(now))
	}
}

// usualTime returns how long an answer usually takes: the service's median, but no longer than all
// but a few of the route's answers take. It returns 0 if no gate has reported a recent mean.
func (f *inFlightRequest) usualTime(now time.Time) time.Duration {
	return min(medianResponseTime(timed(f.forwarder.endpoints.Of(f.service), now)), f.latency.Threshold())
}

// wasShed reports whether the request was shed and no attempt of it has run or runs.
func (f *inFlightRequest) wasShed() bool { return f.runs == 0 && f.repeatCause == causeShed }

// budgetDenied reports whether enough gates had no budget for the current repeat.
func (f *inFlightRequest) budgetDenied() bool {
	if f.wasShed() && f.forwarder.endpoints.switches.On(switches.UrgentRepeats) {
		return f.budgetDenials >= maxBudgetDenialsShed
	}
	return f.budgetDenials >= maxBudgetDenials
}

// mayHedge reports whether a granted slot may be used in addition to a running attempt.
func (f *inFlightRequest) mayHedge(now time.Time) bool {
	if !f.route.Retryable || f.runs >= f.route.Attempts {
		return false
	}
	for _, o := range f.offers {
		if (o.state == running || o.direct) && now.Before(o.hedgeAt) && o.responded {
			return false
		}
	}
	return true
}

// hedge offers a slow retryable request to a second gate.
func (f *inFlightRequest) hedge(now time.Time) {
	if f.mayRepeat(now) && len(f.offers) < maxOffers && f.forwarder.endpoints.switches.On(switches.Hedges) {
		f.repeatCause = causeHedge
		f.offerNext(now)
	}
}

// upstreamUnresponsive repeats a request whose gate reports that its upstream does not
// respond. This is better evidence than a late answer, so the repeat uses the budget of a
// failure.
func (f *inFlightRequest) upstreamUnresponsive(o *offer, now time.Time) {
	o.hedgeAt = time.Time{}
	if f.mayRepeat(now) && len(f.offers) == 1 {
		f.repeatCause = causeUnresponsive
		f.offerNext(now)
	}
}

// continueHedge retries a hedge that a gate has refused: at another gate, or after a pause
// if none is left.
func (f *inFlightRequest) continueHedge(now time.Time) {
	hedging := f.repeatCause == causeHedge || f.repeatCause == causeUnresponsive
	if !hedging || f.deliveries == 0 || f.hasPendingOffer() || !f.mayRepeat(now) {
		return
	}
	before := len(f.offers)
	f.offerNext(now)
	if len(f.offers) > before {
		return
	}
	f.budgetDenials = 0
	f.tried = nil
	for _, o := range f.offers {
		o.hedgeAt = now.Add(hedgePause)
		f.tried = append(f.tried, o.endpoint)
	}
}

// hasPendingOffer reports whether an offer is neither running nor finished.
func (f *inFlightRequest) hasPendingOffer() bool {
	for _, o := range f.offers {
		if o.state != running && o.state != unconfirmed && !o.direct {
			return true
		}
	}
	return false
}

// mayRepeat reports whether the request may run once more, regardless of the budget of its own
// service. If a service that it calls has none, a repeat would be in vain.
func (f *inFlightRequest) mayRepeat(now time.Time) bool {
	return f.route.Retryable && f.runs < f.route.Attempts && now.Before(f.deadline) && !f.budgetSpent
}

// lacksBudget reports whether the current repeat of the request, or of a request nested in it, was
// refused for want of budget.
func (f *inFlightRequest) lacksBudget() bool { return f.budgetDenials > 0 || f.budgetSpent }

// tryNext tries the next gate, or ends the request if waiting for another round is of no
// use.
func (f *inFlightRequest) tryNext(now time.Time) *Response {
	if f.wasShed() && !now.Before(f.answerBy()) {
		return f.giveUp(now)
	}
	if len(f.offers) == 0 {
		f.offerNext(now)
	}
	if len(f.offers) > 0 || !f.nextRoundAt.Before(now) && !f.waitExpired(now) {
		return nil
	}
	return f.giveUp(now)
}

// giveUp returns the answer of a request that is not offered any more, and counts why one that was
// shed is refused.
func (f *inFlightRequest) giveUp(now time.Time) *Response {
	switch {
	case !f.wasShed():
	case f.budgetDenied():
		f.forwarder.count("shed_refused_budget")
	case !now.Before(f.answerBy()):
		f.forwarder.count("shed_refused_late")
	}
	return f.final(now)
}

// waitExpired reports whether the request should not wait for another round.
func (f *inFlightRequest) waitExpired(now time.Time) bool {
	if f.budgetDenied() || f.lacksNestedRoom() {
		return true // No budget to send it again, or no room for its nested requests.
	}
	return !now.Before(f.waitUntil())
}

// waitUntil returns until when a request waits that no gate accepts.
func (f *inFlightRequest) waitUntil() time.Time {
	return f.requirements.KeepUntil(f.runs > 0, f.saturated())
}

// nextRound schedules another round of offers to all gates after a pause.
func (f *inFlightRequest) nextRound(now time.Time) {
	if len(f.offers) > 0 || now.Before(f.nextRoundAt) {
		return
	}
	f.pause = min(max(roundPause, 2*f.pause), maxRoundPause)
	f.nextRoundAt = now.Add(f.pause)
	if last := f.waitUntil(); now.Before(last) && last.Before(f.nextRoundAt) {
		f.nextRoundAt = last
	}
	f.tried = nil
}
