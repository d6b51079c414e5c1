package ingress

import (
	"time"

	"eiderfold/link"
	"eiderfold/quarantine"
	"eiderfold/result"
)

// WithQuarantine sets the shared tracker of requests that crash upstreams. The default
// tracks only this node's own requests.
func WithQuarantine(t *quarantine.SharedTracker) Option {
	return func(to *Forwarder) { to.tracker = t }
}

// fingerprint identifies the request independently of its attempt ids.
func (f *inFlightRequest) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(f.content.Method, f.content.Host, f.content.Target, f.accountName(), f.content.Body)
}

// checkQuarantine refuses a quarantined request before it is offered or counted against a
// limit.
func (f *Forwarder) checkQuarantine(req *inFlightRequest) *Response {
	left := f.tracker.Remaining(time.Now(), req.fingerprint)
	if left == 0 {
		return nil
	}
	req.quarantineLeft = left
	f.count("quarantined")
	return req.quarantined()
}

// quarantined returns the refusal of a quarantined request that has not run.
func (f *inFlightRequest) quarantined() *Response {
	return refusal(result.New(result.Quarantined, f.fingerprint().String()).WithRetryAfter(f.quarantineLeft.Round(time.Second)))
}

// noteCrash records that an upstream crashed while running the request, and reports
// whether the request is quarantined now.
func (f *inFlightRequest) noteCrash(record *quarantine.Record, now time.Time) bool {
	if record == nil {
		return false
	}
	f.record = record
	f.forwarder.tracker.Merge(now, *record)
	f.quarantineLeft = f.forwarder.tracker.Remaining(now, f.fingerprint)
	return f.quarantineLeft > 0
}

// refusedQuarantined ends a request that a gate refused as quarantined. No other gate is
// asked.
func (f *inFlightRequest) refusedQuarantined(m *link.Refused, now time.Time) *Response {
	f.quarantineLeft = m.RetryAfter
	f.withdrawOthers()
	return f.unlessBusy(f.final(now))
}
