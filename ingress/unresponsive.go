package ingress

import (
	"time"

	"eiderfold/link"
)

const (
	// avoidTime is how long a gate is avoided that did not respond to an offer in time.
	avoidTime = 1 * time.Second
	// pingTimeout is how long a suspected gate may take to reply to a ping, the same as
	// for an offer.
	pingTimeout = offerTimeout
)

// suspect marks a gate that did not respond to an offer in time and pings it. Without the
// ping, only further requests would find out whether the gate has recovered: with four of a
// service's twelve nodes frozen for eight seconds, 123 to 231 offers waited for them, and with it
// 46 to 71. This is not the Suspicion in the gate's status, which is about its upstream.
func (e *Endpoint) suspect(now time.Time) {
	e.suspectedUntil.Store(now.Add(avoidTime).UnixNano())
	l := e.link.Load()
	if l == nil || !l.unansweredPing().IsZero() {
		return
	}
	l.pingedAt.Store(now.UnixNano())
	l.sink.Send(&link.Frame{Ping: &link.Ping{}})
}

// suspected reports whether the gate is to be avoided.
func (e *Endpoint) suspected(now time.Time) bool {
	return now.UnixNano() < e.suspectedUntil.Load() || !e.PingPendingSince().IsZero()
}

// unresponsive reports whether a ping reply is overdue, so that no request should wait for
// the gate.
func (e *Endpoint) unresponsive(now time.Time) bool {
	pinged := e.PingPendingSince()
	return !pinged.IsZero() && !now.Before(pinged.Add(pingTimeout))
}

// PingPendingSince returns when the ping was sent that a suspected gate has not replied to; the
// zero time if there is none.
func (e *Endpoint) PingPendingSince() time.Time {
	l := e.link.Load()
	if l == nil {
		return time.Time{}
	}
	return l.unansweredPing()
}

// unansweredPing returns when the ping was sent that has no reply; the zero time if there
// is none.
func (l *gateLink) unansweredPing() time.Time {
	pinged := l.pingedAt.Load()
	if pinged == 0 {
		return time.Time{}
	}
	at := time.Unix(0, pinged)
	if !l.sink.LastPong().Before(at) {
		return time.Time{}
	}
	return at
}
