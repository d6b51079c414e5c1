package gate

import (
	"time"

	"eiderfold/overload"
	"eiderfold/port"
)

// phase is the stage that an admitted offer has reached.
type phase uint8

const (
	queued phase = iota
	granted
	running
)

// entry is an offer that is queued, granted or running.
type entry struct {
	Offered
	shareUse
	phase       phase
	queueKey    overload.QueueKey // Its order in the queue.
	expires     time.Time         // When a grant lapses, or the wait in the queue ends.
	admitted    time.Time         // When it got its slot.
	started     time.Time
	upstream    port.Incarnation // The incarnation that runs it.
	sample      *sample          // Evidence for the hang detector, once it runs.
	budgetTaken time.Time        // When it was taken from the budget as a repeat.
	tokenTaken  bool             // It has a token of the limit that the upstream names.
	hung        bool             // Already counted as a bad outcome.
	warned      bool             // A Warn command was returned for it.
	nested      overload.NestedRun
}

// mayBeHeld reports whether the entry waits while the upstream may not answer it well.
func (e *entry) mayBeHeld() bool { return !e.Retryable && !e.Force }

// busy returns how many slots are granted or in use.
func (a *Admission) busy() int { return len(a.entries) - len(a.queue) }

// awaitingCommit returns how many slots are granted and wait for their commits.
func (a *Admission) awaitingCommit() int { return a.inPhase(granted) }

// running returns how many attempts run.
func (a *Admission) running() int { return a.inPhase(running) }

// inPhase returns how many entries are in a phase.
func (a *Admission) inPhase(p phase) int {
	n := 0
	for _, e := range a.entries {
		if e.phase == p {
			n++
		}
	}
	return n
}
