package clocktest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The times must behave as those of the machine: by the layout of time.Time, which may change.
func TestClocksMoveApart(t *testing.T) {
	wall := time.Unix(1_000_000, 5)
	begin := At(wall, time.Minute)
	assert.Equal(t, wall.UnixNano(), begin.UnixNano())
	later := SetWall(begin.Add(time.Second), -11*time.Second)
	assert.Equal(t, wall.Add(-10*time.Second).UnixNano(), later.UnixNano())
	assert.Equal(t, time.Second, later.Sub(begin))
	assert.True(t, later.After(begin))
	now := time.Now()
	assert.Equal(t, 3*time.Second, SetWall(now.Add(3*time.Second), time.Hour).Sub(now))
}
