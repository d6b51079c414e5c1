package switches

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOff(t *testing.T) {
	s, err := Off("hedges", "near")
	require.NoError(t, err)
	assert.False(t, s.On(Hedges))
	assert.False(t, s.On(PreferLocal))
	assert.True(t, s.On(HangDetection))
	assert.Equal(t, "hedges, near", s.String())
	for _, m := range All() {
		assert.True(t, Set{}.On(m), "%s", m)
	}
	_, err = Off("hedge", "near", "nothing")
	assert.ErrorContains(t, err, "hedge, nothing")
	assert.ErrorContains(t, err, "own-calls", "the error lists the known mechanisms")
}
