package route

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFewPicksOnManyNodes checks that the first few picks of many nodes together match the
// weights, which fails if all nodes start at the same point of the sequence.
func TestFewPicksOnManyNodes(t *testing.T) {
	const nodes, picks = 400, 3
	taken := map[string]int{}
	for range nodes {
		table, err := New(Document{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}},
			Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Shares: []Share{{"a", 60}, {"b", 40}}}}})
		require.NoError(t, err)
		r, ok := table.Match("h", "/x")
		require.True(t, ok)
		for range picks {
			taken[r.Pick()]++
		}
	}
	assert.InDelta(t, 0.6, float64(taken["a"])/(nodes*picks), 0.1)
}
