package mesh

import (
	"math/rand/v2"
	"time"
)

// backoff gives pauses that double from least to most, until a reset.
type backoff struct {
	least, most time.Duration
	last        time.Duration // The latest pause, without its jitter; 0 after a reset.
}

// next returns how long to wait before the next try.
func (b *backoff) next() time.Duration {
	b.last = min(max(b.least, 2*b.last), b.most)
	return jitter(b.last)
}

// reset begins anew after a success.
func (b *backoff) reset() { b.last = 0 }

// jitter spreads nodes that started together: between 0.8 and 1.2 of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*rand.Float64()) * float64(d))
}
