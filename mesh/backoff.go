package mesh

import (
	"math/rand/v2"
	"time"
)

// backoff yields pauses that double from min to max, until a reset.
type backoff struct {
	min, max time.Duration
	last     time.Duration // Latest pause without jitter; 0 after a reset.
}

// next returns how long to wait before the next attempt.
func (b *backoff) next() time.Duration {
	b.last = min(max(b.min, 2*b.last), b.max)
	return jitter(b.last)
}

// reset starts again from min, after a success.
func (b *backoff) reset() { b.last = 0 }

// jitter returns a random duration between 0.8 and 1.2 times d, so that nodes that start
// together spread out.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*rand.Float64()) * float64(d))
}
