package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/core"
)

// A call that arrives just before a stopping node ends what is in flight must be refused, and an
// earlier one must end before: otherwise it is broken off while an upstream works on it.
func TestStoppingNodeRefusesCallsThatItCannotFinish(t *testing.T) {
	finishAt := time.Unix(1000, 0)
	f := newTestForwarder()
	f.Refuse(finishAt)
	latency := &core.LatencyPercentile{}
	for range 1000 {
		latency.Add(50 * time.Millisecond)
	}
	usual := latency.StallThreshold()
	for _, c := range []struct {
		left   time.Duration
		parent string
		taken  bool
	}{{lateGrace + 2*usual, "a1", true}, {lateGrace + usual/2, "a1", false}, {usual / 2, "a1", false}, {-time.Second, "a1", false}, {2 * usual, "", false}} {
		req := &inFlightRequest{parent: c.parent, latency: latency, arrived: finishAt.Add(-c.left), deadline: finishAt.Add(time.Second)}
		refused := f.boundByStop(req)
		if c.taken {
			assert.Nil(t, refused, "%+v", c)
			assert.Equal(t, finishAt.Add(-lateGrace), req.deadline)
			continue
		}
		require.NotNil(t, refused, "%+v", c)
		assert.Equal(t, http.StatusServiceUnavailable, refused.Status)
	}
}
