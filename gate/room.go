package gate

import (
	"time"

	"eiderfold/link"
	"eiderfold/switches"
)

// Room returns the gate's room for one more offer, for a message to other nodes; nil unless the gate
// is open. The result must not be modified.
func (a *Admission) Room(at time.Time) *link.Room { return a.roomAfter(at, 0) }

// roomAfter returns the room as it will be after the given number of running attempts have ended,
// whose answers are about to be sent.
func (a *Admission) roomAfter(at time.Time, ending int) *link.Room {
	if a.Mode() != link.ModeOpen || !a.switches.On(switches.Room) {
		return nil
	}
	room := link.Room{Free: a.freeSlots(at, ending)}
	if room.Free == 0 {
		foreignWaiting := max(a.foreign.at(at)-max(a.slots-a.busy(), 0), 0)
		wait := a.wait(at, len(a.queue)+foreignWaiting)
		room.Wait = max(wait.Round(time.Millisecond), time.Millisecond) // Whole milliseconds take fewer bytes.
	}
	if a.lastRoom == nil || *a.lastRoom != room {
		stated := room // Most messages state the same as the one before and share the value.
		a.lastRoom = &stated
	}
	return a.lastRoom
}

// freeSlots returns how many more offers can start now. Entries that are queued while a slot is free
// wait for a limit, or for evidence that the upstream answers, and take the slots afterwards.
func (a *Admission) freeSlots(at time.Time, ending int) int {
	if a.relapses(at) || a.evidence(at) >= holdEvidence {
		return 0 // An upstream that may hang has more free slots than others, and would attract their work.
	}
	free := a.slots - a.busy() + ending - len(a.queue) - a.foreign.at(at)
	if a.cold.limited(at) {
		free = min(free, a.cold.remaining(at, a.awaitingCommit()))
	}
	return max(min(free, a.named.remaining(at)), 0)
}

// stripRoom returns a frame that was kept for an OutcomeQuery without its room, which is out of date.
func stripRoom(f *link.Frame) *link.Frame {
	switch {
	case f.Answer != nil && f.Answer.Room != nil:
		answer := *f.Answer
		answer.Room = nil
		return &link.Frame{Answer: &answer}
	case f.Refused != nil && f.Refused.Room != nil:
		refused := *f.Refused
		refused.Room = nil
		return &link.Frame{Refused: &refused}
	default:
		return f
	}
}
