package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLatencyPercentileHeavyTail checks that the threshold leaves 5% of a heavy-tailed
// distribution above it.
func TestLatencyPercentileHeavyTail(t *testing.T) {
	p := &LatencyPercentile{}
	above, total := 0, 0
	for i := range 20_000 {
		x := time.Duration(float64(20*time.Millisecond) / (1 - float64((i*7919)%10_000)/10_001))
		if i > 2000 {
			total++
			if x > p.Threshold() {
				above++
			}
		}
		p.Add(x)
	}
	assert.InDelta(t, 0.05, float64(above)/float64(total), 0.02)
}
