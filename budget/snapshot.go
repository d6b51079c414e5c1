package budget

import "time"

// Snapshot is a budget at a time. It decides about many waiting repeats at the cost of one.
type Snapshot struct {
	bound    float64
	rounding float64
	repeats  float64            // In the tightest span.
	held     [urgencies]float64 // Withheld from each urgency.
}

// Snapshot returns the budget as it is now.
func (b *Budget) Snapshot(now time.Time) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := b.clock.bucketOf(now)
	tightest := b.attempts.tightest(newest, b.ratio)
	s := Snapshot{bound: b.bound(tightest, now), rounding: b.rounding, repeats: tightest.repeats}
	available := reservable(s.bound, s.rounding)
	needed, drawn := 0.0, 0.0
	for u := range s.held {
		s.held[u] = withheld(needed, drawn, available)
		needed += b.reserve.levels[u].needed.upperBound(newest)
		drawn += b.reserve.levels[u].drawn.upperBound(newest)
	}
	return s
}

// CanTakeAfter is Budget.CanTakeAfter as of the snapshot.
func (s *Snapshot) CanTakeAfter(k AttemptKind, u Urgency, others int) bool {
	return s.repeats+float64(others)+1 <= k.limit(s.bound, s.held[u], s.rounding)
}
