package budget

import "time"

const (
	// Events are counted in buckets over a sliding window. The number of buckets must divide the
	// window evenly, so that they cover all of it.
	window  = 10 * time.Second
	buckets = 40
	bucket  = window / buckets
)

// windowCounter counts events in a sliding window, as a ring of buckets. The newest bucket has
// only partly elapsed, so the ring needs one bucket more than the window has to cover all of it.
type windowCounter struct {
	ring   [buckets + 1]float64
	newest int64   // The number of the newest bucket.
	total  float64 // The sum of the ring.
}

// bucketOf returns the number of the bucket that contains the given time, counted from the Unix
// epoch.
func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucket) }

// add counts one event now.
func (c *windowCounter) add(now time.Time) {
	c.advance(now)
	c.ring[c.newest%int64(len(c.ring))]++
	c.total++
}

// remove subtracts an event that was counted at the given time, if its bucket is still in the
// ring and has any.
func (c *windowCounter) remove(at time.Time) {
	n := bucketOf(at)
	if n > c.newest-int64(len(c.ring)) && n <= c.newest && c.ring[n%int64(len(c.ring))] > 0 {
		c.ring[n%int64(len(c.ring))]--
		c.total--
	}
}

// lowerBound returns a lower bound on the number of events in the window that ends now. It leaves
// out the oldest bucket, which may lie partly before the window.
func (c *windowCounter) lowerBound(now time.Time) float64 {
	return c.upperBound(now) - c.ring[(c.newest+1)%int64(len(c.ring))]
}

// upperBound returns an upper bound on the number of events in the window that ends now. It
// includes the oldest bucket, which may lie partly before the window.
func (c *windowCounter) upperBound(now time.Time) float64 {
	c.advance(now)
	return c.total
}

// fallsBy returns how long it takes until at least n of the events have left the ring, if none is
// added. It returns the time until the ring is empty if it holds fewer.
func (c *windowCounter) fallsBy(n float64, now time.Time) time.Duration {
	c.advance(now)
	first := c.newest - buckets // The oldest bucket, which leaves the ring first.
	last := first
	for i := first; i <= c.newest && n > 0; i++ {
		if left := c.ring[i%int64(len(c.ring))]; left > 0 {
			n -= left
			last = i
		}
	}
	leaves := time.Unix(0, (last+buckets+1)*int64(bucket))
	return leaves.Sub(now)
}

// advance moves the ring forward to the given time and clears the buckets that are reused.
func (c *windowCounter) advance(now time.Time) {
	n := bucketOf(now)
	if n-c.newest > int64(len(c.ring)) {
		*c = windowCounter{newest: n}
		return
	}
	for c.newest < n {
		c.newest++
		i := c.newest % int64(len(c.ring))
		c.total -= c.ring[i]
		c.ring[i] = 0
	}
}
