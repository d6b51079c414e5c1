package ingress

import (
	"sync/atomic"
	"time"
)

// maxLimitRefusal is how long a gate is not asked again that refused an offer by the limit of its
// upstream. Queued offers that start elsewhere can free it much sooner than it estimated.
const maxLimitRefusal = 1 * time.Second

// namedLimitRefusal is a gate's latest refusal of an offer by the limit that its upstream names;
// the pointer is nil if there is none.
type namedLimitRefusal struct {
	latest atomic.Pointer[namedLimitNote]
}

// namedLimitNote is one refusal.
type namedLimitNote struct {
	until    time.Time // The gate is not asked before,
	priority int       // for this priority and less urgent ones.
	room     time.Time // When the gate expected to have room for another offer.
}

// note records a refusal of an offer of a priority.
func (l *namedLimitRefusal) note(retryAfter time.Duration, priority int, now time.Time) {
	l.latest.Store(&namedLimitNote{until: now.Add(min(retryAfter, maxLimitRefusal)), priority: priority, room: now.Add(retryAfter)})
}

// clear forgets the refusal, as the limit was raised or has ended.
func (l *namedLimitRefusal) clear() { l.latest.Store(nil) }

// roomAt returns when the gate expects to have room for an offer of a priority; the zero time if
// it may be asked now.
func (l *namedLimitRefusal) roomAt(priority int, now time.Time) time.Time {
	n := l.latest.Load()
	if n == nil || !now.Before(n.until) || priority < n.priority {
		return time.Time{}
	}
	return n.room
}
