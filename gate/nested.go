package gate

import (
	"slices"
	"time"

	"eiderfold/overload"
)

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
	overload.Failure
	ended time.Time
}

// RecordFailure records that a request from this instance has just failed.
func (g *Gate) RecordFailure(f overload.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.failures) >= maxFailures {
		g.failures = append(g.failures[:0], g.failures[1:]...)
	}
	g.failures = append(g.failures, localFailure{Failure: f, ended: time.Now()})
}

// nestedRequestFailed reports whether an error of the upstream follows from a failed nested
// request: one that was made during the attempt and failed just before its end. The two are
// matched by time only, so the failure of another caller's request can match by chance.
func (g *Gate) nestedRequestFailed(started, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.failures {
		if !f.Arrived.Before(started) && now.Sub(f.ended) <= nestedErrorWindow {
			return true
		}
	}
	return false
}

// budgetSpent reports whether a nested request of the attempt has failed because no budget was left
// to repeat it.
func (g *Gate) budgetSpent(attempt string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.failures, func(f localFailure) bool {
		return f.BudgetSpent && f.Parent != "" && f.Parent == attempt
	})
}
