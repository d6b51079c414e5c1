package budget

import "time"

const (
	// Events are counted in buckets of one second, over a window of ten seconds.
	bucket  = time.Second
	buckets = 10
	window  = buckets * bucket
)

// windowCounter counts events in a sliding window, as a ring of buckets.
type windowCounter struct {
	ring   [buckets]float64
	second int64 // Of the newest bucket.
}

// add counts one event now.
func (c *windowCounter) add(now time.Time) {
	c.advance(now)
	c.ring[c.second%buckets]++
}

// remove subtracts an event that was counted at the given time, if its bucket is still in the
// window.
func (c *windowCounter) remove(at time.Time) {
	second := at.UnixNano() / int64(bucket)
	if second > c.second-buckets && second <= c.second {
		c.ring[second%buckets]--
	}
}

// sum returns the number of events in the window that ends now.
func (c *windowCounter) sum(now time.Time) float64 {
	c.advance(now)
	total := 0.0
	for _, n := range c.ring {
		total += n
	}
	return total
}

// advance clears the buckets of the seconds that have passed.
func (c *windowCounter) advance(now time.Time) {
	second := now.UnixNano() / int64(bucket)
	if second-c.second > buckets {
		*c = windowCounter{second: second}
		return
	}
	for c.second < second {
		c.second++
		c.ring[c.second%buckets] = 0
	}
}
