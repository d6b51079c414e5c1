package overload

import "time"

const (
	// keepShare is the part of the time until its target deadline for which a request that no
	// gate takes is kept: after a refusal, its caller may find another node that can serve it.
	keepShare = 0.2
	// minKeepTime is the shortest time such a request is kept, even past its target deadline: a
	// few round trips. It does not apply while a nested request is kept until its target
	// deadline.
	minKeepTime = 40 * time.Millisecond
	// keepShareAfterRun replaces keepShare for a request that has run, or may have: its caller
	// can no longer be told that it has not run and may be sent to another node.
	keepShareAfterRun = 1.0
)

// Parent holds the requirements of a request that an upstream works on, for its nested
// requests.
type Parent struct {
	Priority       int
	TargetDeadline time.Time
	Deadline       time.Time
	Repeat         bool    // Its run repeats another.
	Account        string  // The client account that it counts towards, "" for none.
	Weight         float64 // Of the account; 0 for 1.
}

// Failure is a request that failed on the node where it arrived.
type Failure struct {
	Arrived     time.Time
	Parent      string // The attempt that made it, if that runs on the upstream beside the node; otherwise "".
	BudgetSpent bool   // No budget was left to repeat it.
}

// Requirements are what a request needs: its priority, its target deadline, after which an
// answer loses most of its value, and its deadline.
type Requirements struct {
	priority  int
	retryRank int // Steps of lower priority that lengthen its retry-after.
	arrived   time.Time
	target    time.Time
	deadline  time.Time
	nested    bool
}

// NewRequirements returns the requirements of a request by its arrival, its route's priority
// (0 goes first) and target, and its deadline. Without a target, the target deadline is the
// deadline.
func NewRequirements(priority int, arrived time.Time, target time.Duration, deadline time.Time) Requirements {
	if target <= 0 {
		target = deadline.Sub(arrived)
	}
	return Requirements{priority: priority, retryRank: priority, arrived: arrived, target: arrived.Add(target), deadline: deadline}
}

// ForAccount returns the same requirements with the priority that the client account sets. The
// retry-after still depends on the route alone: otherwise callers of a low-priority account
// would retry too late for a short target.
func (r Requirements) ForAccount(priority int) Requirements {
	r.priority = priority
	return r
}

// ForNested returns the same requirements for a nested request of the given parent. It gets the
// higher priority, the later target deadline and the earlier deadline of the two. The target
// deadline is at most the deadline.
func (r Requirements) ForNested(p Parent) Requirements {
	r.nested = true
	r.priority = min(r.priority, p.Priority)
	r.retryRank = min(r.retryRank, p.Priority)
	if p.Deadline.Before(r.deadline) {
		r.deadline = p.Deadline
	}
	if p.TargetDeadline.After(r.target) {
		r.target = p.TargetDeadline
	}
	if r.target.After(r.deadline) {
		r.target = r.deadline
	}
	return r
}

// Priority returns the priority; 0 goes first.
func (r Requirements) Priority() int { return r.priority }

// TargetDeadline returns the target deadline.
func (r Requirements) TargetDeadline() time.Time { return r.target }

// Deadline returns the time after which an answer is of no use.
func (r Requirements) Deadline() time.Time { return r.deadline }

// AwaitRoomUntil returns until when the request is kept if it is known when there is room for it
// again, and that no gate takes it before. A caller that is refused at once can use the time; a
// nested request, or one that has run, has nowhere else to go.
func (r Requirements) AwaitRoomUntil(now time.Time, ran, saturated bool) time.Time {
	keep := r.KeepUntil(ran, saturated)
	if soon := now.Add(minKeepTime); !ran && (!r.nested || saturated) && soon.Before(keep) {
		return soon
	}
	return keep
}

// RepeatShedUntil returns until when the request is sent again if upstreams shed it and it has not
// run, given how long an answer usually takes: it must still be answered by its target deadline. A
// nested request is sent again until its deadline, since its refusal wastes the work on its parent.
func (r Requirements) RepeatShedUntil(usual time.Duration) time.Time {
	if r.nested {
		return r.deadline
	}
	return r.target.Add(-usual)
}

// KeepUntil returns until when the request is kept while no gate takes it. The parameter ran
// tells whether it has run, and saturated whether the upstream that makes a nested request has no
// free slot. Refusing a nested request wastes the work on its parent, so it is kept until its
// target deadline while the upstream has a free slot, since it then blocks no other requests.
func (r Requirements) KeepUntil(ran, saturated bool) time.Time {
	if r.nested && !saturated {
		return r.target
	}
	share := keepShare
	if ran {
		share = keepShareAfterRun
	}
	return r.arrived.Add(max(time.Duration(share*float64(r.target.Sub(r.arrived))), minKeepTime))
}
