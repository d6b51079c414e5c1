package overload

import "time"

const (
	// keepShare is the part of the time until its target deadline for which a request that no
	// gate takes is kept: after a refusal, its caller may find another node that can serve it.
	keepShare = 0.2
	// minKeepTime is the shortest time a request is kept: a few round trips.
	minKeepTime = 40 * time.Millisecond
	// keepShareAfterRun is the same for a request that has run and failed: its caller cannot be
	// told that it did not run.
	keepShareAfterRun = 1.0
)

// Parent holds the requirements of a request that an upstream works on, for its nested
// requests.
type Parent struct {
	Priority int
	Aim      time.Time // Target deadline.
	Deadline time.Time
	Repeat   bool // Its run repeats another.
}

// Terms holds the requirements of a request: its priority, its target deadline, after which an
// answer loses most of its value, and its deadline.
type Terms struct {
	priority  int
	retryRank int // Steps of lower priority that lengthen its retry-after.
	arrived   time.Time
	target    time.Time
	deadline  time.Time
	nested    bool
}

// NewTerms returns the requirements of a request by its arrival, its route's priority (0 goes
// first) and target, and its deadline. Without a target, the target deadline is the deadline.
func NewTerms(priority int, arrived time.Time, target time.Duration, deadline time.Time) Terms {
	if target <= 0 {
		target = deadline.Sub(arrived)
	}
	return Terms{priority: priority, retryRank: priority, arrived: arrived, target: arrived.Add(target), deadline: deadline}
}

// ForAccount returns the same requirements with the priority that the client account sets. The
// retry-after still depends on the route alone: otherwise callers of a low-priority account
// would retry too late for a short target.
func (t Terms) ForAccount(priority int) Terms {
	t.priority = priority
	return t
}

// ForCall returns the same requirements for a nested request of the given parent. It gets the
// higher priority, the later target deadline and the earlier deadline of the two. The target
// deadline is at most the deadline.
func (t Terms) ForCall(p Parent) Terms {
	t.nested = true
	t.priority = min(t.priority, p.Priority)
	t.retryRank = min(t.retryRank, p.Priority)
	if p.Deadline.Before(t.deadline) {
		t.deadline = p.Deadline
	}
	if p.Aim.After(t.target) {
		t.target = p.Aim
	}
	if t.target.After(t.deadline) {
		t.target = t.deadline
	}
	return t
}

// Priority returns the priority; 0 goes first.
func (t Terms) Priority() int { return t.priority }

// Aim returns the target deadline.
func (t Terms) Aim() time.Time { return t.target }

// Deadline returns the time after which an answer is of no use.
func (t Terms) Deadline() time.Time { return t.deadline }

// KeptUntil returns until when the request is kept while no gate takes it. The parameter ran
// tells whether it has run, and crowded whether the upstream that makes a nested request has no
// free slot. Refusing a nested request wastes the work on its parent, so it is kept until its
// target deadline while that blocks no other requests.
func (t Terms) KeptUntil(ran, crowded bool) time.Time {
	if t.nested && !crowded {
		return t.target
	}
	share := keepShare
	if ran {
		share = keepShareAfterRun
	}
	return t.arrived.Add(max(time.Duration(share*float64(t.target.Sub(t.arrived))), minKeepTime))
}
