package core

import "math"

// Rates follow the observations, not the clock, so that a service with one
// request a minute is judged by the same arithmetic as one with a thousand.
const (
	quickWeight  = 0.25
	steadyWeight = 0.05
)

// rate is a share of observations, followed quickly and steadily at once.
type rate struct{ quick, steady float64 }

func (r *rate) add(hits, total uint32) {
	if total == 0 {
		return
	}
	share := float64(hits) / float64(total)
	r.quick = blend(r.quick, share, quickWeight, total)
	r.steady = blend(r.steady, share, steadyWeight, total)
}

// upper is the larger of both: it rises at once when a service gets worse.
func (r *rate) upper() float64 { return max(r.quick, r.steady) }

func blend(old, share, weight float64, n uint32) float64 {
	kept := math.Pow(1-weight, float64(n))
	return old*kept + share*(1-kept)
}
