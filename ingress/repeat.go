package ingress

import "time"

const (
	// A retryable request is sent a second time after hedgeFactor times what all
	// but a twentieth of the route's answers take: one in fifty by chance.
	hedgeFactor = 1.4
	// roundPause is the pause after all gates refused, doubled up to roundMost.
	roundPause = 20 * time.Millisecond
	roundMost  = 160 * time.Millisecond
	// waitShare of the route's target is how long a request is kept that no gate
	// takes: a caller that comes back may find another node that can.
	waitShare = 0.2
	waitLeast = 40 * time.Millisecond
	// waitRanShare is the same for one that ran already and failed: its caller
	// cannot be told that it did not.
	waitRanShare = 1.0
	// hedgeReserve is the part of the repeat budget that hedges leave alone.
	hedgeReserve = 0.5
)

// Causes of a repeat, as counted.
const (
	causeHedge   = "hedge"
	causeError   = "after_error"
	causeFailure = "after_failure"
)

// reserve is the part of the budget that is kept for others: a hedge is a guess,
// and a failure is not.
func (f *flight) reserve() float64 {
	if f.cause == causeHedge {
		return hedgeReserve
	}
	return 0
}

// mayHedge tells whether a granted slot may be used beside an attempt that runs.
func (f *flight) mayHedge(now time.Time) bool {
	if !f.route.Retryable || f.runs >= f.route.Attempts {
		return false
	}
	for _, o := range f.offers {
		if (o.state == running || o.direct) && now.Before(o.hedge) && o.heard {
			return false
		}
	}
	return true
}

// hedge offers a slow retryable request to a second gate.
func (f *flight) hedge(now time.Time) {
	if f.mayRepeat(now) && len(f.offers) < mostOffers {
		f.cause = causeHedge
		f.next(now)
	}
}

// mayRepeat tells whether the request may run once more, budget aside.
func (f *flight) mayRepeat(now time.Time) bool {
	return f.route.Retryable && f.runs < f.route.Attempts && now.Before(f.deadline)
}

// again tries the next gate, or ends the request when that is of no use.
func (f *flight) again(now time.Time) *Response {
	if len(f.offers) == 0 {
		f.next(now)
	}
	if len(f.offers) > 0 || !f.round.Before(now) && !f.hopeless(now) {
		return nil
	}
	return f.final(now)
}

// hopeless tells whether waiting for another round has gone on for long enough.
func (f *flight) hopeless(now time.Time) bool {
	if f.arrivals > 0 && !f.token {
		return true // No budget to send it again.
	}
	return !now.Before(f.keptUntil())
}

// keptUntil is until when a request is kept that no gate takes.
func (f *flight) keptUntil() time.Time {
	share := waitShare
	if f.runs > 0 {
		share = waitRanShare
	}
	return f.began.Add(max(time.Duration(share*float64(f.route.Target)), waitLeast))
}

// nextRound lets all gates be asked again after a pause.
func (f *flight) nextRound(now time.Time) {
	if len(f.offers) > 0 || now.Before(f.round) {
		return
	}
	f.pause = min(max(roundPause, 2*f.pause), roundMost)
	f.round = now.Add(f.pause)
	if last := f.keptUntil(); now.Before(last) && last.Before(f.round) {
		f.round = last
	}
	f.tried = nil
}
