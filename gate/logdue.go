package gate

import "time"

// invalidLogEvery is the shortest interval between two log lines about invalid input of one kind.
const invalidLogEvery = 1 * time.Minute

// logDue reports whether a line may be logged, given the time from which it may, and advances that
// time if so.
func (g *Gate) logDue(next *time.Time, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(*next) {
		return false
	}
	*next = now.Add(invalidLogEvery)
	return true
}
