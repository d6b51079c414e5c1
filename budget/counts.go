package budget

import "time"

const (
	// A node counts in buckets of a second over the operators' window of ten.
	bucket  = time.Second
	buckets = 10
	window  = buckets * bucket
)

// counts is a ring of a bucket for each of the last seconds.
type counts struct {
	ring   [buckets]float64
	second int64 // Of the newest bucket.
}

// add counts one in the bucket of now.
func (c *counts) add(now time.Time) {
	c.moveTo(now)
	c.ring[c.second%buckets]++
}

// remove takes one out of the bucket of a moment that was counted, if it is still there.
func (c *counts) remove(at time.Time) {
	second := at.UnixNano() / int64(bucket)
	if second > c.second-buckets && second <= c.second {
		c.ring[second%buckets]--
	}
}

// sum returns the count of the window that ends now.
func (c *counts) sum(now time.Time) float64 {
	c.moveTo(now)
	total := 0.0
	for _, n := range c.ring {
		total += n
	}
	return total
}

// moveTo empties the buckets of the seconds that have passed.
func (c *counts) moveTo(now time.Time) {
	second := now.UnixNano() / int64(bucket)
	if second-c.second > buckets {
		*c = counts{second: second}
		return
	}
	for c.second < second {
		c.second++
		c.ring[c.second%buckets] = 0
	}
}
