package budget

import "time"

const (
	// Events are counted in buckets over a sliding window. The number of buckets must divide the
	// window evenly, so that they cover all of it.
	window  = 10 * time.Second
	buckets = 40
	bucket  = window / buckets
)

// Resolution is the precision of the counts: whether a repeat counts that much earlier or later makes no
// difference.
const Resolution = bucket

// clock divides the time since an origin into buckets. The origin is a time of this process, so that the
// buckets follow the monotonic clock: a step of the wall clock neither ends a window nor extends it.
type clock struct{ origin time.Time }

// newClock returns a clock of a process that has started at a time; the zero time for long ago.
func newClock(started time.Time) clock {
	if started.IsZero() {
		started = time.Unix(0, 0)
	}
	return clock{origin: started}
}

// bucketOf returns the number of the bucket that contains a time, which is negative before the origin.
func (c clock) bucketOf(at time.Time) int64 {
	since := at.Sub(c.origin)
	if since < 0 {
		return -1
	}
	return int64(since / bucket)
}

// startOf returns the time at which a bucket begins.
func (c clock) startOf(n int64) time.Time { return c.origin.Add(time.Duration(n) * bucket) }

// windowCounter counts events in a sliding window, as a ring of buckets. The newest bucket has
// only partly elapsed, so the ring needs one bucket more than the window has to cover all of it.
type windowCounter struct {
	ring   [buckets + 1]float64
	newest int64   // The number of the newest bucket.
	total  float64 // The sum of the ring.
}

// add counts one event in the newest bucket.
func (c *windowCounter) add(newest int64) {
	c.advance(newest)
	c.ring[c.newest%int64(len(c.ring))]++
	c.total++
}

// remove subtracts an event that was counted in a bucket, if that is still in the ring and has any.
func (c *windowCounter) remove(n int64) {
	if n >= 0 && n > c.newest-int64(len(c.ring)) && n <= c.newest && c.ring[n%int64(len(c.ring))] > 0 {
		c.ring[n%int64(len(c.ring))]--
		c.total--
	}
}

// upperBound returns an upper bound on the number of events in the window that ends in the newest bucket. It
// includes the oldest bucket, which may lie partly before the window.
func (c *windowCounter) upperBound(newest int64) float64 {
	c.advance(newest)
	return c.total
}

// advance moves the ring forward to the newest bucket and clears the buckets that are reused.
func (c *windowCounter) advance(newest int64) {
	if newest-c.newest > int64(len(c.ring)) {
		*c = windowCounter{newest: newest}
		return
	}
	for c.newest < newest {
		c.newest++
		i := c.newest % int64(len(c.ring))
		c.total -= c.ring[i]
		c.ring[i] = 0
	}
}
