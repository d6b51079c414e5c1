package gate

import (
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/switches"
)

// grantTimeout is how long a granted slot waits for its commit: far longer than a round trip,
// and short enough not to waste the slot.
const grantTimeout = 400 * time.Millisecond

// Saturated reports whether all slots are taken.
func (a *Admission) Saturated() bool { return a.busy() >= a.slots }

// canAdmit reports whether the entry may get a slot now. While the upstream may be unresponsive or
// fail, non-retryable requests stay in the queue until another attempt is answered, or go to another
// gate.
func (a *Admission) canAdmit(at time.Time, e *entry) bool {
	busy := a.busy()
	switch {
	case a.cold.limited(at) && !a.cold.allows(at, a.awaitingCommit()), !a.named.allows(at):
		return false
	case a.Mode() != link.ModeTrial:
		return busy < a.slots && !a.mustWait(at, e)
	case e.Force:
		return busy < a.maxForced(a.slots)
	default:
		return busy < a.slots && a.trialAttempts() < a.maxTrialAttempts() && !e.At.Before(a.nextTrialAt)
	}
}

// mustWait reports whether a non-retryable request has to wait because the upstream may not
// answer it, or may answer with an error. While nothing else runs, one goes ahead: a service may have no other
// requests, and without any attempt the evidence would never change.
func (a *Admission) mustWait(at time.Time, e *entry) bool {
	if !e.mayBeHeld() {
		return false
	}
	idle := a.busy() == 0
	if a.switches.On(switches.Doubt) && a.doubt.holds(at, idle) {
		return true
	}
	return !idle && a.switches.On(switches.HoldUnresponsive) && a.evidence(at) >= holdEvidence
}

// trialAttempts returns how many attempts of this trial may still succeed. Attempts that hang,
// or started before the trial, occupy slots but do not count.
func (a *Admission) trialAttempts() int {
	n := 0
	for _, e := range a.entries {
		if e.phase != queued && !e.hung && !e.admitted.Before(a.trialStarted) {
			n++
		}
	}
	return n
}

// admit gives the entry a slot. It starts at once, or waits for its commit.
func (a *Admission) admit(at time.Time, e *entry) []Command {
	if !a.takeBudget(at, e) {
		delete(a.entries, e.Key)
		a.shares.Refund(&e.charge)
		return a.refuseBudget(at, e.Offered, 0)
	}
	e.admitted = at
	a.startLog.add(e)
	a.shares.Start(&e.charge)
	e.tokenTaken = a.named.take(at)
	if e.Ready {
		return a.start(at, e)
	}
	e.phase = granted
	e.expires = at.Add(grantTimeout)
	return []Command{Grant{Key: e.Key}}
}

// start marks the entry as running. From now on the request may have run.
func (a *Admission) start(at time.Time, e *entry) []Command {
	e.phase = running
	e.started = at
	e.upstream = a.upstream
	e.sample = a.addSample(at, e.Kind, e.TargetDeadline)
	a.cold.noteStart(at)
	if !e.tokenTaken {
		a.named.take(at) // The upstream has named the limit since the slot was granted.
	}
	a.countStart(at, e.AttemptKind)
	return []Command{Start{Key: e.Key}}
}

// countStart counts the start of a request's first attempt.
func (a *Admission) countStart(at time.Time, k budget.AttemptKind) {
	if k.IsFirst() {
		a.budget.CountFirst(at)
	}
}

// uncount takes back what a started attempt was counted as.
func (a *Admission) uncount(e *entry) {
	if e.AttemptKind.IsFirst() {
		a.budget.UncountFirst(e.started)
	}
	a.refundBudget(e)
}

// committed starts a granted offer. Any other commit is refused as never seen: one whose grant has
// lapsed, so that the request has not run, and also one for an entry that is queued or running.
func (a *Admission) committed(m Committed) []Command {
	e := a.entries[m.Key]
	if e == nil || e.phase != granted {
		return []Command{Refuse{Key: m.Key, Reason: link.ReasonNeverSeen}}
	}
	return a.start(m.At, e)
}

// withdrawn frees the offer's slot or its place in the queue.
func (a *Admission) withdrawn(m Withdrawn) []Command {
	e := a.entries[m.Key]
	if e == nil {
		return nil
	}
	if e.phase == running {
		if e.Retryable {
			return []Command{Abort{Key: m.Key}}
		}
		return nil // It has started and may not be repeated: let it finish.
	}
	a.drop(e)
	return nil
}

// ended frees the slot and learns from the outcome. Outcomes of an earlier incarnation are
// ignored, also Replaced: they are out of date.
func (a *Admission) ended(m Ended) []Command {
	e := a.entries[m.Key]
	if e == nil {
		return nil
	}
	a.settleShare(m.At, e, m.Outcome)
	if m.Unwritten {
		a.uncount(e)
	}
	a.drop(e)
	if e.upstream != a.upstream {
		return nil
	}
	if m.Outcome == Replaced {
		a.retire()
		a.reinstate(m.Holder)
		return nil
	}
	a.closeSample(m, e)
	a.noteNested(m, e)
	a.recordOutcome(m.At, e.started, m.Outcome, m.Took)
	return nil
}
