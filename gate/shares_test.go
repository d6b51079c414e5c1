package gate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/platform"
	"eiderfold/port"
)

// assertNothingCharged ends all offers and checks that accounts are delayed as at a new gate.
// Otherwise they would be delayed for work that they no longer have.
func assertNothingCharged(t *testing.T, a *Admission, now time.Time) {
	t.Helper()
	for k := range a.entries {
		a.Update(Withdrawn{At: now, Key: k})
		a.Update(Ended{At: now, Key: k, Outcome: NoEvidence})
	}
	var delays []time.Duration
	for _, s := range []*overload.Shares{a.shares, overload.NewShares()} {
		s.Charge(now, overload.Claim{Account: "a", Cost: time.Second}, now)
		s.Charge(now, overload.Claim{Account: "b", Cost: time.Second}, now)
		delays = append(delays, s.Delay(now, overload.Claim{Account: "b"}, time.Minute))
	}
	assert.Equal(t, delays[1], delays[0])
}

// A repeat that finds no budget left once a slot is free must not remain charged.
func TestRepeatWithoutBudgetIsNotCharged(t *testing.T) {
	a, now := NewAdmission(scriptService, budget.New(1, 400, time.Time{})), time.Unix(1000, 0)
	a.Update(Reported{At: now, Report: port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: scriptService, Slots: 1, Sequence: 1}})
	a.Update(Confirmed{At: now, Upstream: port.Incarnation{ID: "i-1"}})
	repeat := offerStep{Key: 2}.message(now)
	repeat.AttemptKind = budget.FailureRetry
	a.Update(offerStep{Key: 1}.message(now))
	require.Equal(t, []Command{Queue{Key: key(2)}}, a.Update(repeat))
	a.budget.SetBounds(0, 0)
	require.Equal(t, []string{"refuse 2 budget"}, describeAll(a.Update(Withdrawn{At: now, Key: key(1)})))
	assertNothingCharged(t, a, now)
}

// The admission must get the account that an offer counts towards, its weight, which is 1 if it is
// invalid, and whether the offer is nested.
func TestOfferCountsTowardsItsShare(t *testing.T) {
	g := New(Upstream{Service: scriptService}, platform.Headers{}, zap.NewNop())
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: scriptService, Slots: 9, Sequence: 1})
	require.Eventually(t, func() bool { return g.Status().Mode == link.ModeOpen }, 10*time.Second, time.Millisecond)
	for i, weight := range []float64{0, 1, -1, 1e9, math.NaN(), 2.5} {
		g.Handle(discardSink{}, &link.Frame{Offer: &link.Offer{Key: key(uint64(i)), Service: scriptService, TimeLeft: time.Minute, Account: "a", ParentAccount: "b", Nested: true, Weight: weight}})
		e := g.admission.entries[key(uint64(i))]
		assert.Equal(t, Offered{Account: "b", Weight: []float64{1, 1, 1, 1, 1, 2.5}[i], Nested: true}, Offered{Account: e.Account, Weight: e.Weight, Nested: e.Nested})
	}
	assert.NotZero(t, g.nextWeightLog)
}
