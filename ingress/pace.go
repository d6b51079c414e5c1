package ingress

import (
	"slices"
	"sync/atomic"
	"time"
)

// paceTrust is how long a gate's word about its answer times counts. Answers bring a
// newer one; a gate that gets no work would be judged by an old one for ever.
const paceTrust = 2 * time.Second

// pace is the mean time of a gate's answers, by its own word.
type pace struct {
	mean  atomic.Int64 // Nanoseconds; 0 for unknown.
	until atomic.Int64 // UnixNano until which it counts.
}

// note takes the gate's word; 0 says nothing.
func (p *pace) note(mean time.Duration, now time.Time) {
	if mean <= 0 {
		return
	}
	p.mean.Store(int64(mean))
	p.until.Store(now.Add(paceTrust).UnixNano())
}

// at returns the mean time, 0 where nothing recent is known.
func (p *pace) at(now time.Time) time.Duration {
	if now.UnixNano() >= p.until.Load() {
		return 0
	}
	return time.Duration(p.mean.Load())
}

// medianPace returns the median of the known mean times, 0 if none is known.
func medianPace(list []*Target, now time.Time) time.Duration {
	times := make([]time.Duration, 0, len(list))
	for _, n := range list {
		if mean := n.pace.at(now); mean > 0 {
			times = append(times, mean)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
