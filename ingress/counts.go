package ingress

import "time"

const (
	// A node counts in buckets of a second over the operators' window of ten.
	budgetBucket  = time.Second
	budgetBuckets = 10
	budgetWindow  = budgetBuckets * budgetBucket
)

// counts is a ring of a bucket for each of the last seconds.
type counts struct {
	buckets [budgetBuckets]float64
	second  int64 // Of the newest bucket.
}

// add counts one in the bucket of now.
func (c *counts) add(now time.Time) {
	c.moveTo(now)
	c.buckets[c.second%budgetBuckets]++
}

// sum returns the count of the window that ends now.
func (c *counts) sum(now time.Time) float64 {
	c.moveTo(now)
	total := 0.0
	for _, n := range c.buckets {
		total += n
	}
	return total
}

// moveTo empties the buckets of the seconds that have passed.
func (c *counts) moveTo(now time.Time) {
	second := now.UnixNano() / int64(budgetBucket)
	if second-c.second > budgetBuckets {
		*c = counts{second: second}
		return
	}
	for c.second < second {
		c.second++
		c.buckets[c.second%budgetBuckets] = 0
	}
}
