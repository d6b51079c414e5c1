package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Checks that pauses double up to the maximum and start again after a reset. The maximum
// with its jitter, plus a call that times out, must fit in the two seconds in which lost
// records are written again after the store's return.
func TestBackoff(t *testing.T) {
	b := backoff{min: storeRetry, max: storeRetryMax}
	for range 2 {
		for _, want := range []time.Duration{storeRetry, storeRetryMax, storeRetryMax} {
			assert.InDelta(t, want.Seconds(), b.next().Seconds(), 0.21*want.Seconds())
		}
		b.reset()
	}
	for range 1000 {
		assert.Less(t, b.next(), 1900*time.Millisecond)
	}
}
