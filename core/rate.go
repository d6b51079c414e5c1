package core

import "math"

// Weights of one observation in the moving averages. The averages advance with
// observations, not with the clock, so that the result does not depend on a
// service's request rate.
const (
	quickWeight  = 0.25
	steadyWeight = 0.05
)

// rate estimates a share of observations by two moving averages, one that reacts
// quickly and one that is stable.
type rate struct{ quick, steady float64 }

func (r *rate) add(hits, total uint32) {
	if total == 0 {
		return
	}
	share := float64(hits) / float64(total)
	r.quick = blend(r.quick, share, quickWeight, total)
	r.steady = blend(r.steady, share, steadyWeight, total)
}

// upper returns the larger average, which rises at once when a service gets worse.
func (r *rate) upper() float64 { return max(r.quick, r.steady) }

// blend returns a moving average after n observations with the given share of hits.
func blend(old, share, weight float64, n uint32) float64 {
	decay := math.Pow(1-weight, float64(n))
	return old*decay + share*(1-decay)
}
