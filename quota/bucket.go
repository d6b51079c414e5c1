package quota

import "time"

// Limit is the request limit of a client account, over all nodes of the fleet.
type Limit struct {
	Rate  float64 // Requests per second.
	Burst float64 // Requests that may arrive at once on top of Rate.
}

// Bounds is the tolerance that the operators grant above every limit.
type Bounds struct {
	Window time.Duration // Period over which requests are counted.
	Over   float64       // Fraction of a window's requests.
	Slack  float64       // Requests per window.
}

// tolerance returns how many requests per window may exceed a limit.
func (b Bounds) tolerance(l Limit) float64 {
	return b.Over*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// toleranceShare is the fraction of the tolerance assigned to each use that can be computed
// in advance. Most of it is left for what cannot be computed: the tokens that two homes
// grant while one is wrongly considered gone, until each has found out which nodes it does
// not reach.
const toleranceShare = 1.0 / 12

// depth returns the capacity of an account's bucket in tokens.
func (b Bounds) depth(l Limit) float64 {
	return max(l.Burst+toleranceShare*b.tolerance(l), 1)
}

// bucket is a token bucket. Its level is negative while tokens are owed.
type bucket struct {
	rate      float64 // Tokens per second.
	depth     float64
	level     float64
	updatedAt time.Time // Time at which level was computed.
}

// refill adds the tokens that have accrued until now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*b.rate, b.depth)
		b.updatedAt = now
	}
}

// take removes one token and reports whether there was one.
func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// charge removes tokens that are already spent, or adds some if tokens is negative. The debt
// is at most a full bucket, which bounds how long an account waits after an overrun.
func (b *bucket) charge(tokens float64) {
	b.level = min(max(b.level-tokens, -b.depth), b.depth)
}

// untilNext returns how long it takes until a token is available.
func (b *bucket) untilNext() time.Duration {
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}
