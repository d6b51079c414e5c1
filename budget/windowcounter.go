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
	newest int64 // The number of the newest bucket.
}

// bucketOf returns the number of the bucket that contains the given time, counted from the Unix
// epoch.
func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucket) }

// add counts one event now.
func (c *windowCounter) add(now time.Time) {
	c.advance(now)
	c.ring[c.newest%int64(len(c.ring))]++
}

// remove subtracts an event that was counted at the given time, if its bucket is still in the
// ring.
func (c *windowCounter) remove(at time.Time) {
	n := bucketOf(at)
	if n > c.newest-int64(len(c.ring)) && n <= c.newest {
		c.ring[n%int64(len(c.ring))]--
	}
}

// lowerBound returns a lower bound on the number of events in the window that ends now. It leaves
// out the oldest bucket, which may lie partly before the window.
func (c *windowCounter) lowerBound(now time.Time) float64 {
	total := c.upperBound(now)
	return total - c.ring[(c.newest+1)%int64(len(c.ring))]
}

// upperBound returns an upper bound on the number of events in the window that ends now. It
// includes the oldest bucket, which may lie partly before the window.
func (c *windowCounter) upperBound(now time.Time) float64 {
	c.advance(now)
	total := 0.0
	for _, n := range c.ring {
		total += n
	}
	return total
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
		c.ring[c.newest%int64(len(c.ring))] = 0
	}
}
