package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/budget"
	"eiderfold/port"
)

// budgetedAdmission returns an open admission whose budget is paid by first attempts alone.
func budgetedAdmission(now time.Time) *Admission {
	a := NewAdmission(scriptService, budget.New(1, 0, time.Time{}))
	a.Update(Reported{At: now, Report: port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: scriptService, Slots: 90, Sequence: 1}})
	a.Update(Confirmed{At: now, Upstream: port.Incarnation{ID: "i-1"}})
	return a
}

// startAttempt starts an attempt of a kind.
func startAttempt(a *Admission, now time.Time, k uint64, kind budget.AttemptKind) []Command {
	m := offerStep{Key: k, Retryable: true, Ready: true}.message(now)
	m.AttemptKind = kind
	return a.Update(m)
}

// A first attempt that did not reach its upstream must not pay for repeats: the request's next attempt is a first one
// too, and each gate would count the request.
func TestUnwrittenFirstAttemptsPayForRepeats(t *testing.T) {
	now := time.Unix(1000, 0)
	a := budgetedAdmission(now)
	for k := range uint64(10) {
		startAttempt(a, now, k, budget.First)
	}
	for k := range uint64(10) {
		a.Update(Ended{At: now.Add(time.Second), Key: key(k), Outcome: NoEvidence, Unwritten: k >= 4})
	}
	state := a.budget.State(now.Add(time.Second))
	assert.Equal(t, 4.0, state.Firsts)
	assert.Zero(t, state.Repeats)
}

// A repeat that did not reach its upstream must not count as one.
func TestUnwrittenRepeatsUseTheBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	a := budgetedAdmission(now)
	for k := range uint64(10) {
		startAttempt(a, now, k, budget.First)
	}
	assert.Contains(t, startAttempt(a, now, 20, budget.FailureRetry), Start{Key: key(20)})
	assert.Equal(t, 1.0, a.budget.State(now).Repeats)
	a.Update(Ended{At: now, Key: key(20), Outcome: NoEvidence, Unwritten: true})
	assert.Zero(t, a.budget.State(now).Repeats)
}
