package gate

import (
	"math"
	"time"

	"eiderfold/port"
)

const (
	// namedBurst is for how long unused tokens accumulate. It exceeds tickInterval, at which
	// queued offers are admitted, so that the whole rate can be used.
	namedBurst = 2 * tickInterval
	// minNamedRate replaces a lower rate, in requests per second: only an answer shows that the
	// limit has ended.
	minNamedRate = 0.1
	// maxTokenDebt bounds by how many requests the starts may exceed the limit for a moment, when
	// it is named while slots are already granted.
	maxTokenDebt = 1.0
	// namedNoticeEvery is the shortest interval between two announcements of a changed limit: an
	// upstream may name another one in each answer.
	namedNoticeEvery = 500 * time.Millisecond
)

// namedLimiter limits the starts to the rate that the upstream names in its answers. Since this
// gate alone sends requests to the upstream, that keeps the limit for all nodes together. It is a
// token bucket.
type namedLimiter struct {
	limited  bool
	rate     float64   // Requests per second; 0 without a limit.
	heardAt  time.Time // When the latest statement was made; the zero time if none is known.
	tokens   float64   // Requests that may start now; negative if too many did.
	filledAt time.Time // When tokens was last updated.
}

// hear processes what an answer of the time heardAt says. Statements can arrive out of order, as
// other nodes pass on what they know.
func (l *namedLimiter) hear(at, heardAt time.Time, n port.NamedLimit) {
	if n.State == port.LimitUnknown || heardAt.Before(l.heardAt) {
		return
	}
	l.heardAt = heardAt
	if n.State == port.LimitNone {
		l.limited, l.rate = false, 0
		return
	}
	if !l.limited {
		// The bucket starts empty: an earlier process of this node may just have used its tokens.
		l.limited, l.tokens, l.filledAt = true, 0, at
	}
	l.fill(at)
	l.rate = max(n.Rate, minNamedRate)
	l.tokens = min(l.tokens, l.capacity())
}

// capacity returns how many tokens accumulate at most.
func (l *namedLimiter) capacity() float64 { return 1 + l.rate*namedBurst.Seconds() }

// fill adds the tokens since the last update.
func (l *namedLimiter) fill(at time.Time) {
	if elapsed := at.Sub(l.filledAt).Seconds(); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed*l.rate, l.capacity())
		l.filledAt = at
	}
}

// interval returns the time between two requests at the limit; 0 if there is none.
func (l *namedLimiter) interval() time.Duration {
	if !l.limited {
		return 0
	}
	return time.Duration(float64(time.Second) / l.rate)
}

// allows reports whether one more request may start.
func (l *namedLimiter) allows(at time.Time) bool { return l.wait(at, 0) == 0 }

// remaining returns how many more requests may start now.
func (l *namedLimiter) remaining(at time.Time) int {
	if !l.limited {
		return math.MaxInt
	}
	l.fill(at)
	return int(l.tokens)
}

// take takes a token for a request and reports whether there is a limit.
func (l *namedLimiter) take(at time.Time) bool {
	if !l.limited {
		return false
	}
	l.fill(at)
	l.tokens = max(l.tokens-1, -maxTokenDebt)
	return true
}

// refund returns the token of a request that did not start.
func (l *namedLimiter) refund() { l.tokens = min(l.tokens+1, l.capacity()) }

// wait returns how long the limit delays an offer with this many offers before it, in whole
// microseconds.
func (l *namedLimiter) wait(at time.Time, before int) time.Duration {
	if !l.limited {
		return 0
	}
	l.fill(at)
	missing := float64(before+1) - l.tokens
	return time.Duration(math.Round(max(missing, 0)/l.rate*1e6)) * time.Microsecond
}

// namedLimitNotice decides when a changed limit is announced.
type namedLimitNotice struct {
	limited bool // As last announced.
	rate    float64
	next    time.Time // The earliest time for the next announcement.
}

// due reports whether the limit is to be announced now, and assumes that it then is.
func (n *namedLimitNotice) due(at time.Time, l *namedLimiter) bool {
	if n.limited == l.limited && (!l.limited || n.rate == l.rate) || at.Before(n.next) {
		return false
	}
	n.limited, n.rate, n.next = l.limited, l.rate, at.Add(namedNoticeEvery)
	return true
}
