package gate

import (
	"time"

	"eiderfold/switches"
)

const (
	// maxStarts is how many starts show what the slots are used for: several times the slots of an
	// upstream.
	maxStarts = 64
	// shortStepShare is the part of an entry's step of priority below which that of another one is
	// short. Requests of equal targets differ by less, by how long they have waited elsewhere. They
	// need no protection: the less urgent ones are late before the others.
	shortStepShare = 0.5
	// minQueuedShare is how many entries for each slot may always wait, at least one for a gate: slots
	// that become free together would stay empty until the next offer if none did.
	minQueuedShare = 0.5
)

// startLog holds the priorities and steps of the latest starts, in any order.
type startLog struct {
	starts []start
	oldest int // Once the log is full.
}

type start struct {
	priority int
	step     time.Duration
}

// add adds a start and evicts the oldest one when the log is full.
func (l *startLog) add(e *entry) {
	s := start{priority: e.Priority, step: e.queueKey.Step()}
	if len(l.starts) < maxStarts {
		l.starts = append(l.starts, s)
		return
	}
	l.starts[l.oldest] = s
	l.oldest = (l.oldest + 1) % maxStarts
}

// slowdown returns by what factor an entry waits longer because of work that is more urgent, has a
// short target and takes as much of the slots as lately: 1 if there was none.
func (l *startLog) slowdown(e *entry) float64 {
	urgent := 0
	for _, s := range l.starts {
		if s.priority < e.Priority && float64(s.step) < shortStepShare*float64(e.queueKey.Step()) {
			urgent++
		}
	}
	return float64(max(len(l.starts), 1)) / float64(max(len(l.starts)-urgent, 1))
}

// excessWait returns how much longer than its lag an offer with this many entries before it would wait
// if more urgent work kept coming, 0 if it may wait. After its lag, an entry goes before more urgent
// work that arrives later. While there is no room for both, the queue would fill with less urgent
// work of long targets, and the more urgent work would be refused. So no more of the former is queued
// than starts on the slots that the latter leaves. Some entries may always wait (minQueuedShare), so
// that their route does not starve.
func (a *Admission) excessWait(at time.Time, e *entry, before int) time.Duration {
	slowdown := a.startLog.slowdown(e)
	if slowdown == 1 || !a.switches.On(switches.TargetSteps) || !a.minQueued(e) {
		return 0
	}
	wait := time.Duration(slowdown * float64(a.wait(at, before)))
	return max(wait-e.queueKey.Lag(), 0)
}

// minQueued reports whether as many entries are queued as may always wait, of those that are no more
// urgent than the given one.
func (a *Admission) minQueued(e *entry) bool {
	waiting := 0
	for _, q := range a.queue {
		if q.Priority >= e.Priority {
			waiting++
		}
	}
	return waiting >= max(int(minQueuedShare*float64(a.slots)), 1)
}
