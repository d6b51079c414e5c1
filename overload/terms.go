package overload

import "time"

const (
	// waitShare of the time until the aim is how long a request is kept that no gate
	// takes: a caller that comes back may find another node that can.
	waitShare = 0.2
	waitLeast = 40 * time.Millisecond
	// waitRanShare is the same for one that ran already and failed: its caller cannot
	// be told that it did not run.
	waitRanShare = 1.0
)

// Parent is a request that an upstream works on, as far as its calls need to know it.
type Parent struct {
	Priority int
	Aim      time.Time // When its answer loses most of its worth.
	Deadline time.Time
	Repeat   bool // Its run repeats another.
}

// Terms are what a request has to wait with: its urgency, when its answer loses most
// of its worth and when all of it.
type Terms struct {
	priority int
	backRank int // How many steps later its caller comes back than the most urgent one.
	arrived  time.Time
	aim      time.Time
	deadline time.Time
	call     bool
}

// NewTerms returns the terms of a request that arrived then, on a route with a priority
// (0 goes first) and a target; without a target the deadline takes its place.
func NewTerms(priority int, arrived time.Time, target time.Duration, deadline time.Time) Terms {
	if target <= 0 {
		target = deadline.Sub(arrived)
	}
	return Terms{priority: priority, backRank: priority, arrived: arrived, aim: arrived.Add(target), deadline: deadline}
}

// ForAccount returns the terms of the same request by its client account's word as well: it
// goes first by that. When its caller comes back still goes by the route alone: all callers
// of a less urgent account would else come back too late for a short aim.
func (t Terms) ForAccount(priority int) Terms {
	t.priority = priority
	return t
}

// ForCall returns the terms of the same request as a call of a parent. It is as urgent
// as its parent if that is more, its answer is in time as long as the parent's can be,
// and it is of no use after the parent's deadline.
func (t Terms) ForCall(p Parent) Terms {
	t.call = true
	t.priority = min(t.priority, p.Priority)
	t.backRank = min(t.backRank, p.Priority)
	if p.Deadline.Before(t.deadline) {
		t.deadline = p.Deadline
	}
	if p.Aim.After(t.aim) {
		t.aim = p.Aim
	}
	if t.aim.After(t.deadline) {
		t.aim = t.deadline
	}
	return t
}

// Priority returns the urgency; 0 goes first.
func (t Terms) Priority() int { return t.priority }

// Aim returns when the answer loses most of its worth.
func (t Terms) Aim() time.Time { return t.aim }

// Deadline returns when the answer is of no use any more.
func (t Terms) Deadline() time.Time { return t.deadline }

// KeptUntil returns until when the request is kept while no gate takes it, given whether
// it has run, and whether the upstream that makes a call has no free slot. A call that is
// turned away takes the work of its parent with it, so it waits while that is in nobody's
// way.
func (t Terms) KeptUntil(ran, crowded bool) time.Time {
	if t.call && !crowded {
		return t.aim
	}
	share := waitShare
	if ran {
		share = waitRanShare
	}
	return t.arrived.Add(max(time.Duration(share*float64(t.aim.Sub(t.arrived))), waitLeast))
}
