package gate

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/port"
)

const (
	// limitRuns is how many random schedules the test of the limit plays.
	limitRuns = 150
	// limitStep is the time between two events of a schedule.
	limitStep = 5 * time.Millisecond
	// limitRunTime is the length of a schedule.
	limitRunTime = 20 * time.Second
	// limitWindow is the window over which starts are counted.
	limitWindow = 4 * time.Second
	// settledAfter is how long after the limit was first named starts are counted.
	settledAfter = 3 * time.Second
	// In limitWindow, there may be limitFactor times the starts that the limit allows, and
	// limitExcess more.
	limitFactor = 1.5
	limitExcess = 5
	// passedOnAge is how long after an answer named a limit it counts.
	passedOnAge = 500 * time.Millisecond
)

// limitedUpstream plays a schedule of offers, commits, answers and restarts against a gate whose
// upstream names changing limits.
type limitedUpstream struct {
	random    *rand.Rand
	now       time.Time
	begin     time.Time
	admission *Admission
	number    uint64
	granted   []link.Key
	running   map[link.Key]span
	rate      float64 // The limit that its answers name.
	limited   bool
	named     []namedAt // What its answers have named.
	starts    []time.Time
	known     Stated // The latest statement that other nodes know.
}

// span is when a run starts and ends.
type span struct{ start, end time.Time }

type namedAt struct {
	at   time.Time
	rate float64
}

func newLimitedUpstream(seed uint64) *limitedUpstream {
	begin := time.Unix(1_000_000, 0)
	u := &limitedUpstream{random: rand.New(rand.NewPCG(seed, 5)), now: begin, begin: begin, running: map[link.Key]span{}}
	u.restart()
	return u
}

// restart replaces the gate by one that has heard nothing. Offers that were granted are lost; what
// runs goes on.
func (u *limitedUpstream) restart() {
	i := port.Incarnation{ID: "i-1"}
	u.admission = NewAdmission(scriptService, budget.New(1, 400, time.Time{}))
	u.granted = nil
	u.update(Reported{At: u.now, Report: port.Report{Incarnation: i, Service: scriptService, Slots: 8, Sequence: 1}})
	u.update(Confirmed{At: u.now, Upstream: i})
}

func (u *limitedUpstream) update(m Message) {
	for _, c := range u.admission.Update(m) {
		switch c := c.(type) {
		case Grant:
			u.granted = append(u.granted, c.Key)
		case Start:
			u.starts = append(u.starts, u.now)
			u.running[c.Key] = span{u.now, u.now.Add(time.Duration(20+u.random.IntN(400)) * time.Millisecond)}
		}
	}
}

// name changes the limit that the upstream names from now on.
func (u *limitedUpstream) name(rate float64) { u.rate, u.limited = rate, true }

// answer ends the runs that are over. Their answers name the limit.
func (u *limitedUpstream) answer() {
	for _, k := range slices.SortedFunc(maps.Keys(u.running), func(a, b link.Key) int { return cmp.Compare(a.Number, b.Number) }) {
		run := u.running[k]
		if u.now.Before(run.end) {
			continue
		}
		delete(u.running, k)
		if u.limited {
			if n := len(u.named); n == 0 || u.named[n-1].rate != u.rate {
				u.named = append(u.named, namedAt{u.now, u.rate})
			}
			u.known = Stated{HeardAt: u.now, Upstream: port.Incarnation{ID: "i-1"}, Statement: port.Statement{Limit: port.NamedLimit{State: port.LimitNamed, Rate: u.rate}}}
			said := u.known
			said.At = u.now
			u.update(said)
		}
		u.update(Ended{At: u.now, Key: k, Outcome: Good, Took: run.end.Sub(run.start)})
	}
}

// offer makes an offer, as a node that knows the limit does.
func (u *limitedUpstream) offer() {
	if !u.known.HeardAt.IsZero() && u.admission.named.heardAt.IsZero() {
		said := u.known
		said.At = u.now
		u.update(said)
	}
	u.number++
	left := time.Duration(500+u.random.IntN(3000)) * time.Millisecond
	u.update(Offered{At: u.now, Key: key(u.number), Service: scriptService, Deadline: u.now.Add(left), TargetDeadline: u.now.Add(left), Priority: u.random.IntN(3),
		Retryable: u.random.IntN(2) == 0, Ready: u.random.IntN(2) == 0})
}

// settle commits the granted offers or, now and then, withdraws one or does neither.
func (u *limitedUpstream) settle() {
	granted := u.granted
	u.granted = nil
	for _, k := range granted {
		switch u.random.IntN(10) {
		case 0:
			u.update(Withdrawn{At: u.now, Key: k})
		case 1:
		default:
			u.update(Committed{At: u.now, Key: k})
		}
	}
}

// step plays one event.
func (u *limitedUpstream) step(load int) {
	u.now = u.now.Add(limitStep)
	u.answer()
	if u.random.IntN(100) < load {
		u.offer()
	}
	u.settle()
	if u.now.Sub(u.begin)%tickInterval == 0 {
		u.update(Ticked{At: u.now})
	}
}

// allowed returns what the named limits allow in limitWindow. A lower limit counts passedOnAge
// after it was named, as it does for a node that has passed it on.
func (u *limitedUpstream) allowed(from time.Time) float64 {
	sum := 0.0
	for t := from; t.Before(from.Add(limitWindow)); t = t.Add(limitStep) {
		sum += u.rateAt(t) * limitStep.Seconds()
	}
	return sum
}

// rateAt returns the highest limit that was in force in the passedOnAge before a time.
func (u *limitedUpstream) rateAt(t time.Time) float64 {
	rate := 0.0
	for i, n := range u.named {
		ended := i+1 < len(u.named) && u.named[i+1].at.Before(t.Add(-passedOnAge))
		if !n.at.After(t) && !ended {
			rate = max(rate, n.rate)
		}
	}
	return rate
}

// worst returns the largest number of starts beyond what is allowed in any window that begins
// settledAfter the first limit or later.
func (u *limitedUpstream) worst() float64 {
	worst := -1000.0
	for i, first := range u.starts {
		if first.Before(u.named[0].at.Add(settledAfter)) {
			continue
		}
		count := 0
		for _, s := range u.starts[i:] {
			if s.Sub(first) <= limitWindow {
				count++
			}
		}
		worst = max(worst, float64(count)-limitFactor*u.allowed(first)-limitExcess)
	}
	return worst
}

// An upstream that names a limit must not get more than that allows in any window, while the limit
// changes, grants are not committed and the process beside it is replaced.
func TestNamedLimitHoldsInAnyWindow(t *testing.T) {
	for seed := range uint64(limitRuns) {
		u := newLimitedUpstream(seed)
		load := 5 + u.random.IntN(90)
		for u.now.Sub(u.begin) < limitRunTime {
			switch u.random.IntN(600) {
			case 0:
				u.name([]float64{0, 0.05, 0.4, 1, 2.5, 7, 30}[u.random.IntN(7)])
			case 1:
				u.restart()
			}
			u.step(load)
		}
		if len(u.named) > 0 {
			assert.LessOrEqual(t, u.worst(), 0.0, "seed %d", seed)
		}
	}
}

// What a named limit allows must be used while there is enough work.
func TestNamedLimitIsUsed(t *testing.T) {
	for _, rate := range []float64{0.4, 1, 2.5, 7, 20} {
		u := newLimitedUpstream(1)
		u.name(rate)
		for u.now.Sub(u.begin) < limitRunTime {
			u.step(80)
		}
		count := 0
		for _, s := range u.starts {
			if s.Sub(u.begin) > settledAfter {
				count++
			}
		}
		wanted := rate * (limitRunTime - settledAfter).Seconds()
		assert.InDelta(t, wanted, count, 1+0.2*wanted, "rate %v", rate)
	}
}

// Once an answer names no limit, the status shows none.
func TestEndedLimitIsNotInTheStatus(t *testing.T) {
	u := newLimitedUpstream(1)
	for _, limit := range []port.NamedLimit{{State: port.LimitNamed, Rate: 2.5}, {State: port.LimitNone}} {
		u.update(Stated{At: u.now, HeardAt: u.now, Upstream: port.Incarnation{ID: "i-1"}, Statement: port.Statement{Limit: limit}})
		s := u.admission.Status()
		assert.True(t, s.Heard)
		assert.Equal(t, limit.State == port.LimitNamed, s.Limited)
		assert.Equal(t, limit.Rate, s.Limit)
	}
}

// BenchmarkStep measures five milliseconds of a gate with more offers than it can take, with and
// without a limit that the upstream names.
func BenchmarkStep(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%t", limited), func(b *testing.B) {
			u := newLimitedUpstream(1)
			u.rate, u.limited = 2.5, limited
			for range b.N {
				u.step(80)
			}
		})
	}
}
