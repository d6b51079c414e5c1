package budget

import "time"

// Snapshot is a budget at a time. It answers for many waiting repeats at the price of one.
type Snapshot struct {
	bound, rounding, repeats float64
	held                     [urgencies]float64
}

// Snapshot returns the budget as it is now.
func (b *Budget) Snapshot(now time.Time) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{bound: b.bound(now), rounding: b.rounding, repeats: b.repeats.upperBound(now)}
	needed, drawn := 0.0, 0.0
	for u := range s.held {
		s.held[u] = max(min(needed, reservable(s.bound, s.rounding))-drawn, 0)
		needed += b.reserve.levels[u].needed.upperBound(now)
		drawn += b.reserve.levels[u].drawn.upperBound(now)
	}
	return s
}

// CanTakeAfter is Budget.CanTakeAfter as of the snapshot.
func (s *Snapshot) CanTakeAfter(k AttemptKind, u Urgency, others int) bool {
	limit := min((1-k.reserve())*s.bound, s.bound-s.held[u]) + s.rounding
	return s.repeats+float64(others)+1 <= limit
}
