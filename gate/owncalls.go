package gate

import "time"

const (
	// callEchoTime is how soon an upstream answers with an error of its own once a
	// call that it needs has failed: it has nothing else to wait for.
	callEchoTime = 100 * time.Millisecond
	// failuresKept bounds the failures that are remembered; within callEchoTime there
	// are few.
	failuresKept = 32
)

// callFailure is a request from this instance that failed: perhaps a call that the
// upstream made for an attempt, perhaps a caller's own.
type callFailure struct {
	arrived time.Time
	ended   time.Time
}

// NoteFailure takes note that a request which arrived then, from this instance, has
// just failed.
func (g *Gate) NoteFailure(arrived time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.failures) >= failuresKept {
		g.failures = append(g.failures[:0], g.failures[1:]...)
	}
	g.failures = append(g.failures, callFailure{arrived: arrived, ended: time.Now()})
}

// excused tells whether an error of the upstream follows from a call of its own that
// failed: one that was made during the attempt and ended a moment ago. Nothing but
// time ties the two together; another caller's failure may excuse an error by chance.
func (g *Gate) excused(began, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.failures {
		if !f.arrived.Before(began) && now.Sub(f.ended) <= callEchoTime {
			return true
		}
	}
	return false
}
