package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/port"
	"eiderfold/switches"
)

// fullGate returns an admission whose slots are taken, and which has budget for all repeats.
func fullGate(now time.Time, slots int) *Admission {
	a := NewAdmission(scriptService, budget.New(0, 1e6, time.Time{}))
	i := port.Incarnation{ID: "i-1"}
	a.Update(Reported{At: now, Report: port.Report{Incarnation: i, Service: scriptService, Slots: slots, Sequence: 1}})
	a.Update(Confirmed{At: now, Upstream: i})
	for n := range slots {
		a.Update(Offered{At: now, Key: key(uint64(n + 1)), Service: scriptService, Deadline: now.Add(time.Minute), TargetDeadline: now.Add(time.Minute), Ready: true})
	}
	return a
}

// A refusal for want of budget must say when the gate has budget again, and a wait for a slot must
// not be taken for one.
func TestRefusalForWantOfBudgetNamesTime(t *testing.T) {
	now := time.Unix(1000, 0)
	a := fullGate(now, 1)
	a.budget.SetBounds(0, 2)
	for a.budget.TryTake(now, budget.FailureRetry) {
	}
	for _, after := range []time.Duration{0, 4 * time.Second} {
		m := Offered{At: now.Add(after), Key: key(100), Service: scriptService, Deadline: now.Add(time.Minute), TargetDeadline: now.Add(time.Minute), AttemptKind: budget.FailureRetry}
		refuse, ok := a.Update(m)[0].(Refuse)
		assert.True(t, ok)
		assert.Equal(t, link.ReasonBudget, refuse.Reason)
		assert.False(t, refuse.Reserved)
		assert.InDelta(t, 10*time.Second-after, refuse.RetryAfter, float64(300*time.Millisecond))
	}
	assert.Empty(t, a.queue)
}

// The fixed priority of a gate that ignores priorities, and a switched-off mechanism, must leave all
// repeats equal.
func TestUrgencyOfOffers(t *testing.T) {
	off, err := switches.Off(string(switches.UrgentRepeats))
	assert.NoError(t, err)
	for _, c := range []struct {
		offer Offered
		off   bool
		want  budget.Urgency
	}{
		{offer: Offered{Priority: 1, Retryable: true, AttemptKind: budget.FailureRetry}, want: 3},
		{offer: Offered{Priority: 1, AttemptKind: budget.FailureRetry}, want: 2},
		{offer: Offered{Priority: 1, AttemptKind: budget.Charged}, want: 3}, // Nested in a repeated run, and not shed.
		{offer: Offered{Priority: -5, Retryable: true, AttemptKind: budget.Hedge}, want: 1},
		{offer: Offered{Priority: 1, Retryable: true, AttemptKind: budget.FailureRetry}, off: true, want: budget.MostUrgent},
	} {
		a := fullGate(time.Unix(1000, 0), 1)
		if c.off {
			a.SetSwitches(off)
		}
		assert.Equal(t, c.want, a.urgency(c.offer), "%+v", c)
	}
}

func BenchmarkQueuedRepeats(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now := time.Unix(1000, 0)
			a := fullGate(now, 64)
			for n := range waiting {
				a.Update(Offered{At: now, Key: key(uint64(1000 + n)), Service: scriptService, Deadline: now.Add(time.Hour), TargetDeadline: now.Add(time.Hour), Priority: n % 3, AttemptKind: budget.FailureRetry})
			}
			assert.Len(b, a.queue, waiting)
			b.ReportAllocs()
			for b.Loop() {
				a.refuseWithoutBudget(now)
			}
		})
	}
}
