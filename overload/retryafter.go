package overload

import "time"

const (
	// minRetryAfter is the shortest retry-after of a refused caller: some round trips, and less
	// than most answers take.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the retry-after: estimates of a gate become out of date within
	// seconds.
	maxRetryAfter = 2 * time.Second
	// maxRetryAfterLimit bounds the retry-after of a caller that was refused by the limits that
	// upstreams name: one request at the lowest rate that gates use.
	maxRetryAfterLimit = 10 * time.Second
	// retryAfterStep is added for each step of lower priority, so that requests of higher
	// priority find free capacity first.
	retryAfterStep = 50 * time.Millisecond
)

// RetryAfter returns the retry-after of a refused caller. The parameter wait is the shortest wait
// that a refusing gate estimated, 0 if none did. The parameter spread is a random number evenly
// distributed over [0, 1): it spreads callers that were refused together between the shortest
// retry-after and twice that. The result is cut to maxRetryAfter; if the shortest one reaches it,
// all callers get the same.
func (r Requirements) RetryAfter(wait time.Duration, spread float64) time.Duration {
	return r.retryAfter(wait, spread, maxRetryAfter)
}

// RetryAfterLimit is RetryAfter for a caller that was refused by the limits that upstreams name.
// Other than an estimate, they hold for as long as they are named, so the wait may be longer.
func (r Requirements) RetryAfterLimit(wait time.Duration, spread float64) time.Duration {
	return r.retryAfter(wait, spread, maxRetryAfterLimit)
}

func (r Requirements) retryAfter(wait time.Duration, spread float64, longest time.Duration) time.Duration {
	shortest := max(wait, minRetryAfter) + time.Duration(r.retryRank)*retryAfterStep
	return min(shortest+time.Duration(spread*float64(shortest)), longest)
}
