package standin

import (
	"math"
	"math/rand/v2"
)

// lognormal returns a log-normally distributed factor with median 1.
func lognormal(r *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma * r.NormFloat64())
}
