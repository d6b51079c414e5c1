package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBudgetHoldsOverAnyWindow draws bursts of requests and repeats at many nodes
// that never hear each other: their sum keeps the fleet's bound in every window.
func TestBudgetHoldsOverAnyWindow(t *testing.T) {
	const (
		nodes, seconds, window = 7, 60, 10
		ratio, slack           = 0.2, 20
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		requests, repeats := [seconds]float64{}, [seconds]float64{}
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewBudget(ratio, slack)
			budgets[i].Fleet(nodes)
		}
		for s := range seconds {
			now := time.Unix(int64(1000+s), 0)
			for _, b := range budgets {
				for range random.IntN(20) * random.IntN(2) {
					b.Earn("a", now)
					requests[s]++
				}
				for range 30 {
					if b.Take("a", now, 0) {
						repeats[s]++
					}
				}
			}
		}
		for from := 0; from+window <= seconds; from++ {
			asked, again := 0.0, 0.0
			for s := from; s < from+window; s++ {
				asked += requests[s]
				again += repeats[s]
			}
			assert.LessOrEqual(t, again, ratio*asked+slack, "seed %d, window from second %d", seed, from)
		}
	}
}

// TestBudgetKeepsAReserve lets hedges take only a part.
func TestBudgetKeepsAReserve(t *testing.T) {
	b := NewBudget(0, 10/budgetShare)
	now := time.Unix(1000, 0)
	hedges := 0
	for b.Take("a", now, 0.5) {
		hedges++
	}
	assert.Equal(t, 5, hedges)
	assert.True(t, b.Take("a", now, 0), "a failure may still be repeated")
	assert.True(t, b.Take("b", now, 0.5), "another service has its own")
	assert.True(t, b.Take("a", now.Add(budgetBuckets*budgetBucket), 0.5), "a window later it is whole again")
}
