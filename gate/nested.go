package gate

import "time"

const (
	// nestedErrorWindow is how soon after a failed nested request an upstream returns its own
	// error: it has nothing else to wait for.
	nestedErrorWindow = 100 * time.Millisecond
	// maxFailures bounds the recorded failures; few occur within nestedErrorWindow.
	maxFailures = 32
)

// localFailure is a failed request from this instance: possibly a nested request that the
// upstream made for an attempt, possibly a request of another caller.
type localFailure struct {
	arrived time.Time
	ended   time.Time
}

// RecordFailure records that a request from this instance has just failed, and when it arrived.
func (g *Gate) RecordFailure(arrived time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.failures) >= maxFailures {
		g.failures = append(g.failures[:0], g.failures[1:]...)
	}
	g.failures = append(g.failures, localFailure{arrived: arrived, ended: time.Now()})
}

// nestedRequestFailed reports whether an error of the upstream follows from a failed nested
// request: one that was made during the attempt and failed just before its end. The two are
// matched by time only, so the failure of another caller's request can match by chance.
func (g *Gate) nestedRequestFailed(started, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.failures {
		if !f.arrived.Before(started) && now.Sub(f.ended) <= nestedErrorWindow {
			return true
		}
	}
	return false
}
