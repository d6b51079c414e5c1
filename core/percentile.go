package core

import (
	"math"
	"sync/atomic"
	"time"
)

// LatencyPercentile estimates for a route the response time that 95% of
// its requests stay under. Each response moves the estimate up or down by a
// fraction of its value, so that it needs one number and no lock, and is
// independent of how heavy the tail is. It is safe for concurrent use.
type LatencyPercentile struct {
	bits  atomic.Uint64 // float64 bits, in seconds; 0 before the first response.
	count atomic.Uint32
}

const (
	// quantile is the estimated quantile.
	quantile = 0.95
	// The step is a fraction of the value. It starts at initialStep and shrinks with the
	// square root of the number of responses to minStep, so that the estimate still
	// follows changes in the route's latency.
	initialStep      = 0.5
	minStep          = 0.02
	minThreshold     = 2 * time.Millisecond   // Below this, scheduling noise dominates.
	defaultThreshold = 500 * time.Millisecond // Until there are minResponses responses.
	// minResponses is how many responses are needed before the estimate is used.
	minResponses = 20
	// stallFactor times the threshold counts as a failure. With a heavy tail
	// (lognormal, sigma 1) 0.12% of good responses take longer, fewer than
	// healthyFailures.
	stallFactor = 4
	minStall    = 150 * time.Millisecond
)

// Add adds one response time.
func (p *LatencyPercentile) Add(d time.Duration) {
	x := d.Seconds()
	n := p.count.Add(1)
	step := max(initialStep/math.Sqrt(float64(n)), minStep)
	for {
		old := p.bits.Load()
		q := math.Float64frombits(old)
		next := x
		if old != 0 {
			next = q * stepFactor(x, q, step)
		}
		if p.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// stepFactor returns the factor by which response time x changes the estimate q. Up and
// down moves balance where a share quantile of the responses is below q.
func stepFactor(x, q, step float64) float64 {
	if x > q {
		return 1 + step*quantile
	}
	return 1 - step*(1-quantile)
}

// Threshold returns the threshold above which a response is slow.
func (p *LatencyPercentile) Threshold() time.Duration {
	if p.count.Load() < minResponses {
		return defaultThreshold
	}
	q := math.Float64frombits(p.bits.Load())
	return max(time.Duration(q*float64(time.Second)), minThreshold)
}

// StallThreshold returns the threshold above which an unanswered request counts as failed.
func (p *LatencyPercentile) StallThreshold() time.Duration {
	return max(stallFactor*p.Threshold(), minStall)
}
