package main

import (
	"math"
	"math/rand/v2"
)

// lognormal returns a log-normally distributed factor with mean 1.
func lognormal(random *rand.Rand) float64 {
	return math.Exp(workSpread*random.NormFloat64() - workSpread*workSpread/2)
}
