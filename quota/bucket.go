package quota

import "time"

// Limit is what an account may send, over all nodes.
type Limit struct {
	Rate  float64 // Requests a second.
	Burst float64 // Requests above that which may come at once.
}

// Bounds are what the operators grant above every limit.
type Bounds struct {
	Window time.Duration // Over which requests are counted.
	Over   float64       // Part of a window's requests.
	Slack  float64       // Requests in a window.
}

// tolerance is how many requests in a window may exceed a limit.
func (b Bounds) tolerance(l Limit) float64 {
	return b.Over*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// toleranceShare is the part of the tolerance that each use has which can be counted
// beforehand. Most is left for what cannot: what two homes give while one is taken for
// gone, until each knows which nodes it does not reach.
const toleranceShare = 1.0 / 12

// depth is how many tokens an account's bucket holds.
func (b Bounds) depth(l Limit) float64 {
	return max(l.Burst+toleranceShare*b.tolerance(l), 1)
}

// bucket holds tokens, or owes them.
type bucket struct {
	rate  float64 // Tokens a second.
	depth float64
	level float64
	at    time.Time // Of level.
}

// moveTo lets the bucket fill until now.
func (b *bucket) moveTo(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.level+passed*b.rate, b.depth)
		b.at = now
	}
}

// take takes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// charge takes tokens that are spent already, or gives some back. What is owed is at
// most a full bucket: an account that was let run too far does not wait for ever.
func (b *bucket) charge(tokens float64) {
	b.level = min(max(b.level-tokens, -b.depth), b.depth)
}

// next is how long it takes until there is a token.
func (b *bucket) next() time.Duration {
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}
