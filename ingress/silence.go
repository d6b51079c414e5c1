package ingress

import (
	"time"

	"eiderfold/link"
)

const (
	// suspicionTime is how long a gate is avoided that did not answer an offer in time.
	suspicionTime = 1 * time.Second
	// replyTime is how long a suspected gate may take to reply to a ping, as long as it may
	// take to answer an offer.
	replyTime = acceptTime
)

// suspect avoids a gate that did not answer an offer in time, and asks it for a sign of
// life. Without that question only further requests would find out whether it is back.
func (t *Target) suspect(now time.Time) {
	t.suspects.Store(now.Add(suspicionTime).UnixNano())
	w := t.way.Load()
	if w == nil || t.silentSince() != 0 {
		return
	}
	t.asked.Store(now.UnixNano())
	w.sink.Send(&link.Frame{Ping: &link.Ping{}})
}

// suspected tells whether the gate is to be avoided.
func (t *Target) suspected(now time.Time) bool {
	return now.UnixNano() < t.suspects.Load() || t.silentSince() != 0
}

// silent tells whether the gate has not replied to a ping for so long that no caller's
// request is to wait for it.
func (t *Target) silent(now time.Time) bool {
	since := t.silentSince()
	return since != 0 && now.UnixNano() >= since+int64(replyTime)
}

// silentSince returns since when (UnixNano) the gate is asked for a sign of life and has
// given none, 0 if it is not asked.
func (t *Target) silentSince() int64 {
	asked := t.asked.Load()
	w := t.way.Load()
	if asked == 0 || w == nil || !w.sink.Ponged().Before(time.Unix(0, asked)) {
		return 0
	}
	return asked
}

// AskedAt returns since when a suspected gate owes a reply to a ping; the zero time if it
// owes none.
func (t *Target) AskedAt() time.Time {
	since := t.silentSince()
	if since == 0 {
		return time.Time{}
	}
	return time.Unix(0, since)
}
