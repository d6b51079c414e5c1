package gate

import (
	"slices"
	"time"

	"eiderfold/link"
	"eiderfold/switches"
)

const (
	// queuePerSlot bounds the queue; what is behind it would wait many times the
	// usual answer time.
	queuePerSlot = 16
	// queueShare of its time is how long an offer may wait. After that the caller
	// has more of a chance elsewhere, told so in time.
	queueShare = 0.4
	// lateAnswers is for how many mean answer times an offer may wait that cannot be in
	// time any more.
	lateAnswers = 2
	// unknownShare of the time until its aim is what a request is taken to need of a kind
	// whose answer times are not known.
	unknownShare = 0.5
	// assumedTime stands in for the mean answer time before there is one.
	assumedTime = 100 * time.Millisecond
)

// order is that of the queue.
func order(a, b *entry) int { return a.place.Compare(&b.place) }

// reorder moves behind what can no longer be in time, and refuses what has no room there.
func (a *Admission) reorder(at time.Time) []Command {
	if !a.switches.On(switches.LateLast) {
		return nil
	}
	for _, e := range a.queue {
		e.place.Note(at, a.likely(e.Kind, e.Aim.Sub(at)))
	}
	slices.SortStableFunc(a.queue, order)
	var out []Command
	for i, e := range slices.Clone(a.queue) {
		if wait := a.wait(at, i); !a.roomFor(e, wait) {
			a.drop(e)
			out = append(out, Refuse{Key: e.Key, Reason: link.ReasonBusy, After: wait})
		}
	}
	return out
}

// roomFor tells whether an offer that is late may wait for so long: behind more than a
// few answers it would see others pass it until its deadline.
func (a *Admission) roomFor(e *entry, wait time.Duration) bool {
	return !e.place.Late() || wait <= lateAnswers*a.answerTime()
}

// answerTime returns the mean time of an answer, also before there is one.
func (a *Admission) answerTime() time.Duration {
	if a.usual == 0 {
		return assumedTime
	}
	return a.usual
}

// wait estimates how long an offer takes with so many before it in the queue.
func (a *Admission) wait(at time.Time, before int) time.Duration {
	slots := a.answerTime() * time.Duration(before+1) / time.Duration(max(a.slots, 1))
	return max(slots, a.cold.wait(at, before))
}

// likely is the time that most answers of a kind of request take. Of a kind that was never
// answered here only this is known: its operators have set an aim that it can meet.
func (a *Admission) likely(kind uint32, left time.Duration) time.Duration {
	if !a.switches.On(switches.KindTimes) {
		return a.usual
	}
	if t := a.kinds[kind]; t != nil && t.count > 0 {
		return t.median()
	}
	return min(a.usual, time.Duration(unknownShare*float64(max(left, 0))))
}

// drop takes an offer out that has its end. A repeat that never started costs nothing.
func (a *Admission) drop(e *entry) {
	delete(a.entries, e.Key)
	if !e.taken.IsZero() && e.phase != running {
		a.budget.Return(e.taken)
	}
	if e.phase == queued {
		a.queue = slices.DeleteFunc(a.queue, func(o *entry) bool { return o == e })
	}
}
