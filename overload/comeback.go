package overload

import "time"

const (
	// backLeast is the shortest time after which a refused caller is told to come back:
	// some round trips, and less than most answers take.
	backLeast = 100 * time.Millisecond
	// backMost bounds what is told: whatever a gate expects, it changes within seconds.
	backMost = 2 * time.Second
	// backStep is how much later callers come back for each step that they are less
	// urgent, so that the more urgent find room first.
	backStep = 50 * time.Millisecond
)

// ComeBack returns when a refused caller shall come back. The wait is the shortest that a
// gate told which turned the request away, 0 if none did. Spread is drawn evenly from
// [0, 1): callers that were refused together come back over twice that time, and not all
// at once.
func (t Terms) ComeBack(wait time.Duration, spread float64) time.Duration {
	least := max(wait, backLeast) + time.Duration(t.backRank)*backStep
	return min(least+time.Duration(spread*float64(least)), backMost)
}
