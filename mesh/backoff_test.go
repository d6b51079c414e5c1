package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBackoff doubles pauses up to the most, and begins anew after a success. The
// most, with its jitter and a call that times out, leaves a lapsed record back
// within two seconds of the store's return.
func TestBackoff(t *testing.T) {
	b := backoff{least: storeRetry, most: storeRetryMost}
	for range 2 {
		for _, want := range []time.Duration{storeRetry, storeRetryMost, storeRetryMost} {
			assert.InDelta(t, want.Seconds(), b.next().Seconds(), 0.21*want.Seconds())
		}
		b.reset()
	}
	for range 1000 {
		assert.Less(t, b.next(), 1900*time.Millisecond)
	}
}
