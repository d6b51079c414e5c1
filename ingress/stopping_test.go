package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/core"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/route"
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
		req := &inFlightRequest{parent: c.parent, route: &route.Route{Retryable: true}, latency: latency, arrived: finishAt.Add(-c.left), deadline: finishAt.Add(time.Second)}
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

// A stopping node must not take an order that it may have to break off while an upstream works on it, however fast such
// orders usually are.
func TestStoppingNodeBreaksOffOrdersOfCalls(t *testing.T) {
	finishAt := time.Unix(1000, 0)
	last := finishAt.Add(-lateGrace)
	f := newTestForwarder()
	f.Refuse(finishAt)
	latency := &core.LatencyPercentile{}
	for range 1000 {
		latency.Add(50 * time.Millisecond)
	}
	for _, c := range []struct {
		deadline time.Time
		taken    bool
	}{{last.Add(-time.Second), true}, {last, true}, {last.Add(time.Millisecond), false}, {finishAt.Add(time.Minute), false}} {
		req := &inFlightRequest{parent: "a1", route: &route.Route{}, latency: latency, arrived: last.Add(-2 * time.Second), deadline: c.deadline}
		refused := f.boundByStop(req)
		if c.taken {
			assert.Nil(t, refused, "%+v", c)
			assert.Equal(t, c.deadline, req.deadline)
			continue
		}
		require.NotNil(t, refused, "%+v", c)
		assert.Equal(t, http.StatusServiceUnavailable, refused.Status)
	}
}

// A stopping node must answer a request that has no offer at any gate when it finishes, or begins afterwards.
func TestFinishLosesRequestWithoutOffer(t *testing.T) {
	for _, finishFirst := range []bool{false, true} {
		f := newTestForwarder()
		now := time.Now()
		req := &inFlightRequest{forwarder: f, route: &route.Route{Target: time.Hour, Attempts: 2}, service: "a", latency: &core.LatencyPercentile{},
			content: &link.Content{}, arrived: now, deadline: now.Add(time.Hour), events: newEventQueue(), saturated: func() bool { return true },
			deliveries: 1} // An upstream has shed it; it waits for another gate.
		req.requirements = overload.NewRequirements(0, now, req.route.Target, req.deadline)
		if finishFirst {
			f.Finish()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if !finishFirst {
			time.AfterFunc(20*time.Millisecond, f.Finish)
		}
		r := req.run(ctx)
		require.NotNil(t, r, "no answer")
		assert.Equal(t, http.StatusServiceUnavailable, r.Status)
	}
}
