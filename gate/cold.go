package gate

import (
	"slices"
	"time"
)

// coldWindow is over which the starts of a cold upstream are counted.
const coldWindow = time.Second

// ColdBound is what an upstream bears while it is cold: after a start, and at any time it
// says so.
type ColdBound struct {
	Time time.Duration // How long it is cold after a start.
	Rate float64       // Requests a second; 0 for any number.
}

// cold paces the work of an upstream that is cold. Callers that were turned away by the
// others of its service come to it all at once, and it falls over: so in any second it
// begins no more than it bears.
type cold struct {
	bound  ColdBound
	until  time.Time
	starts []time.Time // Within the last coldWindow, oldest first.
}

// setBound takes note of what the upstream bears.
func (c *cold) setBound(b ColdBound) { c.bound = b }

// reported takes the upstream's word on how much longer it is cold.
func (c *cold) reported(at time.Time, left time.Duration) { c.until = at.Add(left) }

// suppose takes it that the upstream is cold as after a start, until it says otherwise.
func (c *cold) suppose(at time.Time) {
	if until := at.Add(c.bound.Time); until.After(c.until) {
		c.until = until
	}
}

// paced tells whether the bound counts now.
func (c *cold) paced(at time.Time) bool { return c.bound.Rate > 0 && at.Before(c.until) }

// began takes note of a start, also while the upstream is warm: it may turn cold.
func (c *cold) began(at time.Time) {
	if c.bound.Rate > 0 {
		c.trim(at)
		c.starts = append(c.starts, at)
	}
}

// trim forgets what is no longer counted.
func (c *cold) trim(at time.Time) {
	c.starts = slices.DeleteFunc(c.starts, func(t time.Time) bool { return at.Sub(t) >= coldWindow })
}

// most is how many may start in a window.
func (c *cold) most() int { return max(int(c.bound.Rate*coldWindow.Seconds()), 1) }

// room tells whether one more may start, with so many granted that start with their commit.
func (c *cold) room(at time.Time, granted int) bool {
	if !c.paced(at) {
		return true
	}
	c.trim(at)
	return len(c.starts)+granted < c.most()
}

// wait is how long the pace keeps an offer with so many before it.
func (c *cold) wait(at time.Time, before int) time.Duration {
	if !c.paced(at) {
		return 0
	}
	return min(time.Duration(float64(before+1)/c.bound.Rate*float64(time.Second)), c.until.Sub(at))
}
