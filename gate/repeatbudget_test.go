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

// A repeat that is written long after it got its slot, as the process stood still, must be counted when it is
// written, and must not be written if there is no budget then.
func TestRepeatWrittenLateIsCountedEarly(t *testing.T) {
	for _, c := range []struct {
		why    string
		later  time.Duration
		firsts int // That start before it is written, beside those that paid for it.
		lacks  bool
	}{
		{why: "soon enough to count when it got its slot", later: budget.Resolution - time.Millisecond},
		{why: "in the window that the first attempts pay for", later: 5 * time.Second},
		{why: "nothing pays for it any more", later: 21 * time.Second, lacks: true},
		{why: "others pay for it", later: 21 * time.Second, firsts: 8},
	} {
		now := time.Unix(1000, 0)
		a := budgetedAdmission(now)
		for k := range uint64(8) {
			startAttempt(a, now, k, budget.First)
		}
		assert.Contains(t, startAttempt(a, now, 20, budget.FailureRetry), Start{Key: key(20)}, c.why)
		at := now.Add(c.later)
		for range c.firsts {
			a.budget.CountFirst(at)
		}
		lacks, retryAfter := a.lacksBudget(at, key(20))
		assert.Equal(t, c.lacks, lacks, c.why)
		assert.Equal(t, c.lacks, retryAfter > 0, c.why)
		if !lacks {
			assert.Equal(t, 1.0, a.budget.State(at).Repeats, c.why)
			nextWindow := at.Add(10*time.Second + 2*time.Millisecond)
			assert.Equal(t, c.later >= budget.Resolution, a.budget.State(nextWindow).Repeats == 1, c.why)
		}
	}
}
