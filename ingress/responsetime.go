package ingress

import (
	"slices"
	"sync/atomic"
	"time"
)

// responseTimeTTL is how long a reported mean response time counts. Each answer brings a
// newer one; a gate without work would otherwise be rated by an old one forever.
const responseTimeTTL = 2 * time.Second

// responseTime is a gate's mean response time as the gate reports it.
type responseTime struct {
	mean  atomic.Int64 // Nanoseconds; 0 for unknown.
	until atomic.Int64 // UnixNano until which it counts.
}

// note records a reported mean; 0 is ignored.
func (p *responseTime) note(mean time.Duration, now time.Time) {
	if mean <= 0 {
		return
	}
	p.mean.Store(int64(mean))
	p.until.Store(now.Add(responseTimeTTL).UnixNano())
}

// at returns the mean response time, 0 if no recent one is known.
func (p *responseTime) at(now time.Time) time.Duration {
	if now.UnixNano() >= p.until.Load() {
		return 0
	}
	return time.Duration(p.mean.Load())
}

// timedEndpoint is a gate with its mean response time, read once: answers change it at any moment.
type timedEndpoint struct {
	*Endpoint
	mean time.Duration // 0 for unknown.
}

// timed returns gates with their mean response times.
func timed(list []*Endpoint, now time.Time) []timedEndpoint {
	out := make([]timedEndpoint, len(list))
	for i, n := range list {
		out[i] = timedEndpoint{Endpoint: n, mean: n.responseTime.at(now)}
	}
	return out
}

// medianResponseTime returns the median of the known mean response times, 0 if none is
// known.
func medianResponseTime(list []timedEndpoint) time.Duration {
	times := make([]time.Duration, 0, len(list))
	for _, n := range list {
		if n.mean > 0 {
			times = append(times, n.mean)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// withoutSlow returns the gates whose mean response time is not far above the median. The gate with the
// median is always among them.
func withoutSlow(list []timedEndpoint, median time.Duration) []*Endpoint {
	bound := time.Duration(slowFactor * float64(median))
	out := make([]*Endpoint, 0, len(list))
	for _, n := range list {
		if median == 0 || n.mean <= bound {
			out = append(out, n.Endpoint)
		}
	}
	return out
}
