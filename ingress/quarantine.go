package ingress

import (
	"time"

	"eiderfold/link"
	"eiderfold/quarantine"
	"eiderfold/result"
)

// WithQuarantine names where it is kept which requests end upstreams; without it, only
// what this node's own requests met is known.
func WithQuarantine(b *quarantine.Book) Option {
	return func(to *Forwarder) { to.book = b }
}

// print names the request, whatever its attempts are called.
func (f *flight) print() quarantine.Print {
	return quarantine.PrintOf(f.content.Method, f.content.Host, f.content.Target, f.accountName(), f.content.Body)
}

// holdBack refuses a request under which upstreams end, before anything is spent on it.
func (f *Forwarder) holdBack(fl *flight) *Response {
	left := f.book.Held(time.Now(), fl.print)
	if left == 0 {
		return nil
	}
	fl.held = left
	f.count("quarantined")
	return fl.quarantined()
}

// quarantined is the answer to a request that is held and has not run.
func (f *flight) quarantined() *Response {
	return refusal(result.New(result.Quarantined, f.print().String()).WithRetryAfter(f.held.Round(time.Second)))
}

// noteEnd takes note that an upstream ended under the request, and tells whether the
// request is held from now on.
func (f *flight) noteEnd(record *quarantine.Record, now time.Time) bool {
	if record == nil {
		return false
	}
	f.record = record
	f.forwarder.book.Heard(now, *record)
	f.held = f.forwarder.book.Held(now, f.print)
	return f.held > 0
}

// heldBack ends a request that a gate refused as held: no other gate is asked.
func (f *flight) heldBack(m *link.Refused, now time.Time) *Response {
	f.held = m.After
	f.withdrawOthers()
	return f.onlyIfAlone(f.final(now))
}
