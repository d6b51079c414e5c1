package budget

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// fleetScenario is a data file: what the gates of a service get, and what happens to them.
type fleetScenario struct {
	Gates   int           `yaml:"gates"`
	Rate    float64       `yaml:"rate"` // Requests per second, of all gates together.
	Slack   float64       `yaml:"slack"`
	Length  time.Duration `yaml:"length"`
	Traffic []fleetSpan   `yaml:"traffic"` // Which gates get the requests; all without one.
	Errors  []fleetSpan   `yaml:"errors"`  // When gates start as many repeats as they may.
	Starts  []fleetSpan   `yaml:"starts"`  // When gates are replaced by new processes.
	Least   float64       `yaml:"least"`   // Share of the limit that is used at least, in the window with the most repeats.
}

// fleetSpan is a time and the gates that it is about.
type fleetSpan struct {
	From  time.Duration `yaml:"from"`
	To    time.Duration `yaml:"to"`
	First float64       `yaml:"first"` // Share of the gates before them.
	Last  float64       `yaml:"last"`  // Share of the gates up to the last of them; 0 for 1.
	// Informed is when new processes have learned of all others, after their start. Until then they know of none.
	Informed time.Duration `yaml:"informed"`
}

func (s fleetSpan) contains(gate, gates int) bool {
	last := s.Last
	if last == 0 {
		last = 1
	}
	return float64(gate) >= s.First*float64(gates) && float64(gate) < last*float64(gates)
}

// fleetGates plays a scenario on budgets alone, without chance.
type fleetGates struct {
	fleetScenario
	budgets  []*Budget
	informed []time.Time // When each process has learned of the others.
	requests []time.Duration
	repeats  []time.Duration
	due      float64 // Requests that have not been sent.
	next     int     // Takes turns among the gates that get requests.
}

const fleetStep = 50 * time.Millisecond

func (f *fleetGates) run() {
	begin := time.Unix(1000, 0)
	f.budgets, f.informed = make([]*Budget, f.Gates), make([]time.Time, f.Gates)
	f.startGates(begin.Add(-window), fleetSpan{Informed: window})
	for at := time.Duration(0); at < f.Length; at += fleetStep {
		now := begin.Add(at)
		for _, s := range f.Starts {
			if s.From == at {
				f.startGates(now, s)
			}
		}
		for i, b := range f.budgets {
			if now.Equal(f.informed[i]) {
				b.ObserveGates(f.Gates)
			}
		}
		f.send(at, now)
		for _, s := range f.Errors {
			if at >= s.From && at < s.To {
				f.repeat(at, now, s)
			}
		}
	}
}

// startGates replaces gates by processes that start now.
func (f *fleetGates) startGates(now time.Time, s fleetSpan) {
	for i := range f.budgets {
		if !s.contains(i, f.Gates) {
			continue
		}
		f.budgets[i] = New(budgetRatio, f.Slack, now)
		f.budgets[i].AwaitGates()
		f.budgets[i].SetRank(roundingOf(i, f.Gates))
		f.informed[i] = now.Add(s.Informed)
	}
}

// send distributes the requests of a step evenly to the gates that get them.
func (f *fleetGates) send(at time.Duration, now time.Time) {
	var gates []int
	for i := range f.budgets {
		if f.gets(i, at) {
			gates = append(gates, i)
		}
	}
	for f.due += f.Rate * fleetStep.Seconds(); f.due >= 1; f.due-- {
		f.budgets[gates[f.next%len(gates)]].CountFirst(now)
		f.next++
		f.requests = append(f.requests, at)
	}
}

func (f *fleetGates) gets(gate int, at time.Duration) bool {
	for _, s := range f.Traffic {
		if at >= s.From && at < s.To {
			return s.contains(gate, f.Gates)
		}
	}
	return true
}

func (f *fleetGates) repeat(at time.Duration, now time.Time, s fleetSpan) {
	for i, b := range f.budgets {
		for s.contains(i, f.Gates) && b.TryTake(now, FailureRetry) {
			f.repeats = append(f.repeats, at)
		}
	}
}

// worst returns the window in which the most repeats beyond the limit arrived, or the fewest are missing to it.
func (f *fleetGates) worst() (from time.Duration, repeats, limit float64) {
	for at := time.Duration(0); at <= f.Length-window; at += fleetStep {
		sent := max(countWithin(f.requests, at), countWithin(f.requests, at-window/2), countWithin(f.requests, at-window))
		n, allowed := countWithin(f.repeats, at), budgetRatio*sent+f.Slack
		if at == 0 || n-allowed > repeats-limit {
			from, repeats, limit = at, n, allowed
		}
	}
	return from, repeats, limit
}

// The limit must hold whichever gates get the requests, and whatever new processes know of the others.
func TestRepeatsExceedTheLimitWhileTrafficMoves(t *testing.T) {
	files, err := filepath.Glob("testdata/moves/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			f := &fleetGates{}
			require.NoError(t, yaml.UnmarshalWithOptions(data, &f.fleetScenario, yaml.Strict()))
			f.run()
			from, repeats, limit := f.worst()
			report := fmt.Sprintf("%v repeats in the window from %v; allowed %.0f", repeats, from, limit)
			t.Log(report)
			require.LessOrEqual(t, repeats, limit, report)
			require.GreaterOrEqual(t, repeats, f.Least*limit, report)
		})
	}
}
