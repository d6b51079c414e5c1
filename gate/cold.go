package gate

import (
	"slices"
	"time"
)

// coldWindow is the sliding window over which starts on a cold upstream are counted.
const coldWindow = time.Second

// ColdBound limits the load of an upstream while it is cold: after a start, and whenever it
// reports so.
type ColdBound struct {
	Time time.Duration // How long an upstream is cold after a start.
	Rate float64       // Requests a second; 0 for no limit.
}

// coldLimiter limits the rate of starts on a cold upstream. Without it, callers refused by the
// other gates of the service would all come to this one at once and overload it.
type coldLimiter struct {
	bound  ColdBound
	until  time.Time
	starts []time.Time // Within the last coldWindow, oldest first.
}

// setBound sets the limit.
func (c *coldLimiter) setBound(b ColdBound) { c.bound = b }

// setRemaining sets how much longer the upstream is cold, as it reports.
func (c *coldLimiter) setRemaining(at time.Time, left time.Duration) { c.until = at.Add(left) }

// assumeCold treats the upstream as cold as after a start, until it reports otherwise.
func (c *coldLimiter) assumeCold(at time.Time) {
	if until := at.Add(c.bound.Time); until.After(c.until) {
		c.until = until
	}
}

// limited reports whether the limit applies now.
func (c *coldLimiter) limited(at time.Time) bool { return c.bound.Rate > 0 && at.Before(c.until) }

// noteStart records a start, also while the upstream is warm: it may become cold.
func (c *coldLimiter) noteStart(at time.Time) {
	if c.bound.Rate > 0 {
		c.trim(at)
		c.starts = append(c.starts, at)
	}
}

// trim removes starts that are older than coldWindow.
func (c *coldLimiter) trim(at time.Time) {
	c.starts = slices.DeleteFunc(c.starts, func(t time.Time) bool { return at.Sub(t) >= coldWindow })
}

// maxStarts returns how many requests may start within coldWindow.
func (c *coldLimiter) maxStarts() int { return max(int(c.bound.Rate*coldWindow.Seconds()), 1) }

// allows reports whether one more request may start. Granted offers count as starts, as their
// commits will start them.
func (c *coldLimiter) allows(at time.Time, granted int) bool {
	if !c.limited(at) {
		return true
	}
	c.trim(at)
	return len(c.starts)+granted < c.maxStarts()
}

// remaining returns how many more requests may start now, while the limit applies.
func (c *coldLimiter) remaining(at time.Time, granted int) int {
	c.trim(at)
	return c.maxStarts() - len(c.starts) - granted
}

// wait returns how long the limit delays an offer with this many offers before it.
func (c *coldLimiter) wait(at time.Time, before int) time.Duration {
	if !c.limited(at) {
		return 0
	}
	return min(time.Duration(float64(before+1)/c.bound.Rate*float64(time.Second)), c.until.Sub(at))
}
