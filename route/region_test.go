package route

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRegions checks where a request may run, given the regions of its route and account.
func TestRegions(t *testing.T) {
	for _, c := range []struct {
		why            string
		route, account []string
		allowed        []string // Of north, south and west.
	}{
		{"neither is bound", nil, nil, []string{"north", "south", "west"}},
		{"the route is bound", []string{"north"}, nil, []string{"north"}},
		{"the account is bound", nil, []string{"south", "west"}, []string{"south", "west"}},
		{"both are bound", []string{"north", "west"}, []string{"south", "west"}, []string{"west"}},
		{"bound to nothing in common", []string{"north"}, []string{"south"}, nil},
	} {
		regions := RegionsOf(&Route{Regions: c.route}, &Account{Regions: c.account})
		var allowed []string
		for _, name := range []string{"north", "south", "west"} {
			if regions.Allow(name) {
				allowed = append(allowed, name)
			}
		}
		assert.Equal(t, c.allowed, allowed, c.why)
		assert.Equal(t, len(allowed) < 3, regions.Restricted(), c.why)
	}
	assert.False(t, RegionsOf(&Route{}, nil).Restricted(), "a request without an account")
}
