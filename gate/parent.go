package gate

import "time"

// parentTolerance is how far the deadline of an upstream's own call may be from that
// of the request it makes the call for: both are told in whole milliseconds, and the
// call is read some milliseconds after it was made.
const parentTolerance = 10 * time.Millisecond

// RunsRepeat tells whether a call whose caller's patience ends at deadline is made
// for a request that the upstream runs as a repeat. An upstream gives its calls the
// deadline of its request, and nothing else ties the two together.
func (g *Gate) RunsRepeat(deadline time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.calls {
		if c.repeat && c.cancel != nil && c.deadline.Sub(deadline).Abs() <= parentTolerance {
			return true
		}
	}
	return false
}
