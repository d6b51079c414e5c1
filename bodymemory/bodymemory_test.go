package bodymemory

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against leaking the memory reserved for bodies, whatever becomes of the request.
func TestBodyMemoryIsReleased(t *testing.T) {
	r := New(100)
	s := r.Reservation()
	require.NoError(t, s.reserve(60))
	other := r.Reservation()
	synctest.Test(t, func(t *testing.T) {
		assert.ErrorIs(t, other.reserve(60), ErrNone)
	})
	other.Release()
	s.Release()
	require.NoError(t, other.reserve(1000), "a body larger than the limit gets all of it")
	other.Release()
	assert.True(t, r.bytes.TryAcquire(100))
}
