package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/clocktest"
)

// simulatedFleet generates bursts of requests, repeats and nested requests of repeated runs at
// many gates that do not communicate and may restart.
type simulatedFleet struct {
	random   *rand.Rand
	budgets  []*Budget
	requests []time.Duration // When each request arrived.
	repeats  []time.Duration // When each repeat reached its upstream.
	returned int
}

// nestedRequests reports whether a gate gets a nested request of a repeated run in a step: in half of
// the time one in three steps of each gate, and hardly any otherwise.
func (f *simulatedFleet) nestedRequests(at time.Duration) bool {
	if at/(budgetLength/4)%2 == 0 {
		return f.random.IntN(1000) == 0
	}
	return f.random.IntN(3) == 0
}

const (
	budgetGates  = 7
	budgetRatio  = 0.2
	budgetSlack  = 20
	budgetStep   = 100 * time.Millisecond
	budgetLength = 80 * time.Second
)

func (f *simulatedFleet) start(now time.Time) {
	f.budgets = make([]*Budget, budgetGates)
	for i := range f.budgets {
		f.restart(i, now)
	}
}

// restart replaces the budget of gate i with that of a process that starts now.
func (f *simulatedFleet) restart(i int, now time.Time) {
	b := New(budgetRatio, budgetSlack, now)
	b.ObserveGates(budgetGates)
	b.SetRank(roundingOf(i, budgetGates))
	f.budgets[i] = b
}

// roundingOf returns the rank of gate i.
func roundingOf(i, gates int) float64 { return (float64(i) + 0.5) / float64(gates) }

// step simulates one time step. Requests arrive in ten seconds of each fifteen. The delay until
// repeats reach an upstream changes every second and is the same for all.
func (f *simulatedFleet) step(at time.Duration, now time.Time) {
	second := int(at / time.Second)
	delay := time.Duration(second*7%10) * 95 * time.Millisecond
	for _, b := range f.budgets {
		for range f.random.IntN(3) * ((second + 1) % 15 / 5) {
			b.CountFirst(now)
			f.requests = append(f.requests, at)
		}
		if f.nestedRequests(at) && b.TryTake(now, Charged) {
			b.CountFirst(now)
			f.requests = append(f.requests, at)
			f.repeats = append(f.repeats, at)
		}
		for range 5 {
			if !b.TryTake(now, FailureRetry) {
				continue
			}
			if f.random.IntN(4) == 0 {
				b.Refund(now) // Its offer was withdrawn before it started.
				f.returned++
				continue
			}
			f.repeats = append(f.repeats, at+delay)
		}
	}
}

// countWithin counts the times in the window that begins at from.
func countWithin(times []time.Duration, from time.Duration) float64 {
	n := 0.0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// TestBudgetHoldsOverAnyWindow checks that the limit holds in every window when all gates restart
// once at the same time.
func TestBudgetHoldsOverAnyWindow(t *testing.T) {
	for seed := range uint64(20) {
		f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1))}
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
		f.checkWindows(t, seed)
	}
}

// checkWindows asserts that the repeats in every window are within the fleet's limit. The ratio
// applies to the largest number of requests in the same window, in the one before it, or in the
// one that starts half a window earlier.
func (f *simulatedFleet) checkWindows(t *testing.T, seed uint64) {
	t.Helper()
	for from := time.Duration(0); from <= budgetLength; from += budgetStep {
		asked := max(countWithin(f.requests, from), countWithin(f.requests, from-window/2), countWithin(f.requests, from-window))
		assert.LessOrEqual(t, countWithin(f.repeats, from), budgetRatio*asked+budgetSlack, "seed %d, window from %v", seed, from)
	}
}

// A gate that restarts several times within a window must not regain its slack with each restart.
func TestBudgetHoldsDuringRepeatedRestarts(t *testing.T) {
	for seed := range uint64(20) {
		f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 2))}
		begin := time.Unix(1000, 0)
		f.start(begin)
		restartPeriod := time.Duration(1+f.random.IntN(4)) * time.Second
		for at := time.Duration(0); at < budgetLength; at += budgetStep {
			for i := range f.budgets {
				if (at+time.Duration(i)*budgetStep)%restartPeriod == 0 && at/(20*time.Second)%2 == 1 {
					f.restart(i, begin.Add(at))
				}
			}
			f.step(at, begin.Add(at))
		}
		f.checkWindows(t, seed)
	}
}

// Hedges must leave the reserve to repeats after failures.
func TestHedgesLeaveAReserve(t *testing.T) {
	b := New(0, 10/slackShare, time.Time{})
	now := time.Unix(1000, 0)
	hedges := 0
	for b.TryTake(now, Hedge) {
		hedges++
	}
	assert.Equal(t, 7, hedges)
	assert.True(t, b.TryTake(now, FailureRetry), "a failure may still be repeated")
	assert.False(t, b.TryTake(now.Add(window-time.Nanosecond), Hedge), "repeats count until a window has passed")
	assert.True(t, b.TryTake(now.Add(window+bucket), Hedge), "the budget is full again one bucket after the window")
}

// Nested requests of repeated runs must use the budget, and be refused without it.
func TestNestedRequestsUseTheBudget(t *testing.T) {
	b := New(0, 10/slackShare, time.Time{})
	now := time.Unix(1000, 0)
	for range 9 {
		assert.True(t, b.TryTake(now, Charged))
	}
	assert.True(t, b.TryTake(now, FailureRetry))
	assert.False(t, b.TryTake(now, FailureRetry))
	assert.False(t, b.TryTake(now, Charged))
}

// A fleet that restarts after it used all of its slack must not exceed the slack in total.
func TestRestartedFleetKeepsItsSlack(t *testing.T) {
	const slack = 70
	begin := time.Unix(1000, 0)
	now := begin.Add(2 * window)
	spent := 0
	for _, process := range []struct{ started, takes time.Time }{{begin, now}, {now, now.Add(window - time.Nanosecond)}} {
		for i := range budgetGates {
			b := New(0, slack, process.started)
			b.ObserveGates(budgetGates)
			b.SetRank(roundingOf(i, budgetGates))
			for b.TryTake(process.takes, FailureRetry) {
				spent++
			}
		}
	}
	assert.LessOrEqual(t, spent, slack)
	assert.GreaterOrEqual(t, spent, slack/2)
}

// With more gates than slack, each gate's part is less than one repeat. The gates together must
// still allow the sum of their parts, and no more.
func TestFractionalPartsAddUp(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, c := range []struct {
		gates int
		slack float64
	}{{740, 1040}, {740, 200}, {4000, 1040}, {12, 60}} {
		for _, process := range []struct {
			started   time.Time
			slackPart float64
		}{{begin.Add(-window), 1}, {begin.Add(-window / 2), startupShare / 2}, {begin, 0}} {
			given := 0
			for i := range c.gates {
				b := New(budgetRatio, c.slack, process.started)
				b.ObserveGates(c.gates)
				b.SetRank(roundingOf(i, c.gates))
				for b.TryTake(begin, FailureRetry) {
					given++
				}
			}
			parts := slackShare * c.slack * process.slackPart
			assert.InDelta(t, parts, given, 1, "%d gates, slack %v, started %v", c.gates, c.slack, process.started)
		}
	}
}

// A repeat that is given back seconds later must be removed from the bucket in which it was
// taken: otherwise the budget would grow when that bucket leaves the window.
func TestReturnCountsInItsOwnBucket(t *testing.T) {
	b := New(0, 1/slackShare, time.Time{})
	taken := time.Unix(1000, 0)
	assert.True(t, b.TryTake(taken, FailureRetry))
	b.Refund(taken)
	later := taken.Add(window - bucket)
	assert.True(t, b.TryTake(later, FailureRetry))
	assert.False(t, b.TryTake(later, FailureRetry))
	assert.False(t, b.TryTake(taken.Add(window), FailureRetry), "a returned repeat is available only once")
	assert.False(t, b.TryTake(taken.Add(window+bucket), FailureRetry), "a returned repeat is available only once")
	b.Refund(taken) // Its bucket has left the ring.
	assert.False(t, b.TryTake(taken.Add(window+bucket), FailureRetry))
}

// payingRatio is the ratio at which a first attempt pays for a repeat in each of its windows.
const payingRatio = 1.000001 / (ratioShare * nextShare) // Products of fractions may be rounded down.

// A repeat must count for at least a whole window, wherever in its bucket it was taken: otherwise
// the slack could be used twice within a window.
func TestSlackIsUsedOncePerWindow(t *testing.T) {
	const slack = 10
	for _, offset := range []time.Duration{0, bucket / 2, bucket - time.Nanosecond, time.Second - time.Nanosecond} {
		b := New(0, slack/slackShare, time.Time{})
		taken := time.Unix(1000, 0).Add(offset)
		for range slack {
			assert.True(t, b.TryTake(taken, FailureRetry))
		}
		assert.False(t, b.TryTake(taken.Add(window-time.Nanosecond), FailureRetry), "offset %v", offset)
		assert.True(t, b.TryTake(taken.Add(window+bucket), FailureRetry), "offset %v", offset)
		b = New(payingRatio, 0, time.Time{})
		b.CountFirst(taken)
		assert.True(t, b.CanTake(taken.Add(window-bucket-time.Nanosecond), FailureRetry), "offset %v", offset)
		assert.False(t, b.CanTake(taken.Add(window), FailureRetry), "offset %v", offset)
	}
}

// The state must say what the decisions go by: with it, the parts of all gates can be added up.
func TestStateIsWhatDecisionsUse(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(budgetRatio, 30/slackShare, time.Time{})
	b.ObserveGates(10)
	for range 50 {
		b.CountFirst(now)
	}
	assert.True(t, b.TryTake(now, FailureRetry))
	s := b.State(now)
	assert.Equal(t, State{Firsts: 50, Repeats: 1, Left: s.Left, Slack: 3, Gates: 10}, s)
	left := 0
	for b.TryTake(now, FailureRetry) {
		left++
	}
	assert.Equal(t, int(s.Left), left)
}

// A clock that is set forward by more than a window must not renew the budget, and one that is set back must not
// take it away.
func TestSetClockRenewsTheBudget(t *testing.T) {
	for _, by := range []time.Duration{window + time.Second, -window, time.Hour, -time.Hour} {
		begin := clocktest.At(time.Unix(1000, 0), time.Minute)
		b := New(payingRatio, 10/slackShare, begin)
		now := begin.Add(2 * window)
		b.CountFirst(now)
		for range 11 {
			assert.True(t, b.TryTake(now, FailureRetry))
		}
		set := clocktest.SetWall(now.Add(bucket), by)
		assert.False(t, b.TryTake(set, FailureRetry), "set by %v", by)
		b.CountFirst(set)
		assert.True(t, b.TryTake(set, FailureRetry), "set by %v", by)
		assert.True(t, b.TryTake(set.Add(window+bucket), FailureRetry), "set by %v", by)
	}
}
