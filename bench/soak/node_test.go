package soak

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFreeAddressesDiffer guards against duplicate addresses: a node with the same port for
// two of its listeners never starts.
func TestFreeAddressesDiffer(t *testing.T) {
	const count = 500
	addresses, release, err := freeAddresses("127.0.250.1", count)
	require.NoError(t, err)
	defer release()
	seen := map[string]bool{}
	for _, a := range addresses {
		seen[a] = true
	}
	assert.Len(t, seen, count)
}
