package standin

import (
	"math"
	"math/rand/v2"
)

// lognormal draws a factor whose median is 1.
func lognormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma * r.NormFloat64())
}
