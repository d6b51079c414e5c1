package gate

import (
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/switches"
)

// urgency returns how urgent an offer's repeat is. An order is only repeated if it was shed, since
// it has not run then.
func (a *Admission) urgency(m Offered) budget.Urgency {
	if !a.switches.On(switches.UrgentRepeats) {
		return budget.MostUrgent
	}
	return budget.UrgencyOf(m.Priority, !m.Retryable && m.AttemptKind == budget.FailureRetry)
}

// hasBudget reports whether an offer may start as far as the budget is concerned, with this many
// repeats before it. An offer that is no repeat needs no budget.
func (a *Admission) hasBudget(at time.Time, m Offered, others int) bool {
	return !m.AttemptKind.NeedsBudget() || a.budget.CanTakeAfter(at, m.AttemptKind, a.urgency(m), others)
}

// takeBudget takes a repeat from the budget and reports whether the entry may start.
func (a *Admission) takeBudget(at time.Time, e *entry) bool {
	if !e.AttemptKind.NeedsBudget() {
		return true
	}
	if !a.budget.TryTakeFor(at, e.AttemptKind, a.urgency(e.Offered)) {
		return false
	}
	e.budgetTaken = at
	return true
}

// lacksBudget reports whether a started repeat that is about to be written has no budget any more, and when it
// may be repeated. The budget counts when repeats reach upstreams. One that got its slot long ago, as the process
// stood still or waited for a connection, is therefore counted again.
func (a *Admission) lacksBudget(now time.Time, k link.Key) (lacks bool, retryAfter time.Duration) {
	e := a.entries[k]
	if e == nil || e.budgetTaken.IsZero() || now.Sub(e.budgetTaken) < budget.Resolution {
		return false, 0
	}
	a.refundBudget(e)
	e.budgetTaken = time.Time{}
	if a.takeBudget(now, e) {
		return false, 0
	}
	return true, a.budget.Refuse(now, e.AttemptKind, a.urgency(e.Offered), 0)
}

// refundBudget gives a repeat back to the budget.
func (a *Admission) refundBudget(e *entry) {
	if !e.budgetTaken.IsZero() {
		a.budget.RefundFor(e.budgetTaken, a.urgency(e.Offered))
	}
}

// refuseBudget refuses an offer for want of budget, with this many repeats before it.
func (a *Admission) refuseBudget(at time.Time, m Offered, others int) []Command {
	u := a.urgency(m)
	reserved := a.budget.Reserved(at, m.AttemptKind, u)
	after := a.budget.Refuse(at, m.AttemptKind, u, others)
	return []Command{Refuse{Key: m.Key, Reason: link.ReasonBudget, RetryAfter: after, Reserved: reserved}}
}

// repeatsBefore returns how many of the first n entries of the queue need budget.
func (a *Admission) repeatsBefore(n int) int {
	repeats := 0
	for _, e := range a.queue[:n] {
		if e.AttemptKind.NeedsBudget() {
			repeats++
		}
	}
	return repeats
}

// refuseWithoutBudget refuses queued repeats for which the budget does not suffice any more. It
// handles a saturated gate that many requests were offered to after they had been shed: each would
// wait for a slot only to be refused then, and its caller with it.
func (a *Admission) refuseWithoutBudget(at time.Time) []Command {
	if !a.switches.On(switches.UrgentRepeats) || a.repeatsBefore(len(a.queue)) == 0 {
		return nil
	}
	now := a.budget.Snapshot(at)
	var out []Command
	others := 0
	for i := 0; i < len(a.queue); {
		e := a.queue[i]
		switch {
		case !e.AttemptKind.NeedsBudget():
			i++
		case now.CanTakeAfter(e.AttemptKind, a.urgency(e.Offered), others):
			others++
			i++
		default:
			a.drop(e)
			out = append(out, a.refuseBudget(at, e.Offered, others)...)
		}
	}
	return out
}
