package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fleetOfBudgets draws bursts of requests, repeats and calls of repeated runs at many
// gates that never hear each other, and restarts them all once.
type fleetOfBudgets struct {
	random   *rand.Rand
	budgets  []*Budget
	requests []time.Duration // When a request came.
	repeats  []time.Duration // When a repeat reached its upstream.
	returned int
}

const (
	budgetGates  = 7
	budgetRatio  = 0.2
	budgetSlack  = 20
	budgetStep   = 100 * time.Millisecond
	budgetLength = 80 * time.Second
)

func (f *fleetOfBudgets) start(now time.Time) {
	f.budgets = nil
	for i := range budgetGates {
		b := New(budgetRatio, budgetSlack, now)
		b.NoteGates(budgetGates)
		b.NotePlace(placeOf(i, budgetGates))
		f.budgets = append(f.budgets, b)
	}
}

// placeOf is the place of a gate among some.
func placeOf(i, gates int) float64 { return (float64(i) + 0.5) / float64(gates) }

// step lets a step pass. Requests come for ten seconds of each fifteen, and how long
// repeats take to reach an upstream changes from second to second, for all alike.
func (f *fleetOfBudgets) step(at time.Duration, now time.Time) {
	second := int(at / time.Second)
	delay := time.Duration(second*7%10) * 95 * time.Millisecond
	for _, b := range f.budgets {
		for range f.random.IntN(3) * ((second + 1) % 15 / 5) {
			b.Earn(now)
			f.requests = append(f.requests, at)
		}
		if f.random.IntN(1000) == 0 {
			b.Charge(now)
			f.repeats = append(f.repeats, at)
		}
		for range 5 {
			if !b.Take(now, Failure) {
				continue
			}
			if f.random.IntN(4) == 0 {
				b.Return(now) // Its offer was withdrawn before it started.
				f.returned++
				continue
			}
			f.repeats = append(f.repeats, at+delay)
		}
	}
}

// within counts the moments in a window.
func within(moments []time.Duration, from time.Duration) float64 {
	n := 0.0
	for _, at := range moments {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// TestBudgetHoldsOverAnyWindow keeps the fleet's bound in every window, wherever it
// begins: by the requests of the window, the one before or half of each.
func TestBudgetHoldsOverAnyWindow(t *testing.T) {
	for seed := range uint64(20) {
		f := &fleetOfBudgets{random: rand.New(rand.NewPCG(seed, 1))}
		begin := time.Unix(1000, 0)
		f.start(begin)
		restart := time.Duration(f.random.Int64N(int64(budgetLength)))
		for at := time.Duration(0); at < budgetLength; at += budgetStep {
			if at <= restart && restart < at+budgetStep {
				f.start(begin.Add(at))
			}
			f.step(at, begin.Add(at))
		}
		assert.Positive(t, f.returned)
		for from := time.Duration(0); from <= budgetLength; from += budgetStep {
			asked := max(within(f.requests, from), within(f.requests, from-window/2), within(f.requests, from-window))
			assert.LessOrEqual(t, within(f.repeats, from), budgetRatio*asked+budgetSlack, "seed %d, window from %v", seed, from)
		}
	}
}

// TestBudgetKeepsAReserve lets hedges take only a part.
func TestBudgetKeepsAReserve(t *testing.T) {
	b := New(0, 10/slackShare, time.Time{})
	now := time.Unix(1000, 0)
	hedges := 0
	for b.Take(now, Hedge) {
		hedges++
	}
	assert.Equal(t, 7, hedges)
	assert.True(t, b.Take(now, Failure), "a failure may still be repeated")
	assert.True(t, b.Take(now.Add(window), Hedge), "a window later it is whole again")
}

// TestChargedCallsLeaveLess counts the calls of repeated runs, which nobody chooses.
func TestChargedCallsLeaveLess(t *testing.T) {
	b := New(0, 10/slackShare, time.Time{})
	now := time.Unix(1000, 0)
	for range 9 {
		b.Charge(now)
	}
	assert.True(t, b.Take(now, Failure))
	assert.False(t, b.Take(now, Failure))
}

// TestRestartedFleetKeepsItsSlack spends all slack, restarts every node and spends
// what they then believe to have.
func TestRestartedFleetKeepsItsSlack(t *testing.T) {
	const slack = 70
	begin := time.Unix(1000, 0)
	now := begin.Add(2 * window)
	spent := 0
	for _, started := range []time.Time{begin, now} {
		for i := range budgetGates {
			b := New(0, slack, started)
			b.NoteGates(budgetGates)
			b.NotePlace(placeOf(i, budgetGates))
			for b.Take(now, Failure) {
				spent++
			}
		}
	}
	assert.LessOrEqual(t, spent, slack)
	assert.GreaterOrEqual(t, spent, slack/2)
}

// In a fleet of 740 gates with a slack of 1,040 a gate's part is 0.91 of a repeat, and 0.46
// while it is young. Counted in whole repeats that was none: in the first two seconds of
// traffic lookups that met a reset were not sent again, and 8% of all requests failed, where
// later 3% did. All gates together give what their parts add up to, whatever the number of
// gates, and no more.
func TestPartsUnderOneAddUp(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, c := range []struct {
		gates int
		slack float64
	}{{740, 1040}, {740, 200}, {4000, 1040}, {12, 60}} {
		for _, started := range []time.Time{begin.Add(-window), begin} {
			given := 0
			for i := range c.gates {
				b := New(budgetRatio, c.slack, started)
				b.NoteGates(c.gates)
				b.NotePlace(placeOf(i, c.gates))
				for b.Take(begin, Failure) {
					given++
				}
			}
			parts := slackShare * c.slack
			if started == begin {
				parts *= youngShare
			}
			assert.InDelta(t, parts, given, 1, "%d gates, slack %v, started %v", c.gates, c.slack, started)
		}
	}
}

// TestReturnedInTheWindowOfItsTaking gives a repeat back seconds after it was taken:
// the budget must not have more of it when its second leaves the window.
func TestReturnedInTheWindowOfItsTaking(t *testing.T) {
	b := New(0, 1/slackShare, time.Time{})
	taken := time.Unix(1000, 0)
	assert.True(t, b.Take(taken, Failure))
	b.Return(taken)
	later := taken.Add(window - bucket)
	assert.True(t, b.Take(later, Failure))
	assert.False(t, b.Take(later, Failure))
	assert.False(t, b.Take(taken.Add(window), Failure), "what was given back is not given twice")
	b.Return(taken) // Its second is not counted any more.
	assert.False(t, b.Take(taken.Add(window), Failure))
}
