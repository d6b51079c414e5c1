package core

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// script is a test case from testdata: what each node observes of each upstream over
// time, and what the outlier detector must and must not decide.
type script struct {
	Policy struct {
		Floor          int     `yaml:"floor"`
		Sensitivity    float64 `yaml:"sensitivity"`
		OnlyAtMostOnce bool    `yaml:"only_at_most_once"`
	} `yaml:"policy"`
	Upstreams []string      `yaml:"upstreams"`
	Reporters []string      `yaml:"reporters"`
	Rate      float64       `yaml:"rate"` // Requests per second and upstream, over all reporters.
	Seeds     uint64        `yaml:"seeds"`
	Phases    []scriptPhase `yaml:"phases"`
	Out       []expectation `yaml:"out"` // Must be ejected.
	NeverOut  []string      `yaml:"never_out"`
	// FalseInAll is how many ejections of NeverOut are allowed over all seeds: 0
	// unless chance alone can cause some.
	FalseInAll   int            `yaml:"false_in_all"`
	In           []expectation  `yaml:"in"`       // Must be back in rotation.
	MaxOut       int            `yaml:"most_out"` // Ejected at a time.
	MaxEjections map[string]int `yaml:"most_ejections"`
}

// scriptPhase is a period with constant rates.
type scriptPhase struct {
	For  time.Duration `yaml:"for"`
	Sees []scriptRates `yaml:"sees"`
}

// scriptRates holds the rates of bad outcomes that some reporters observe of some
// upstreams.
type scriptRates struct {
	Upstreams []string `yaml:"upstreams"` // Empty for all.
	Reporters []string `yaml:"reporters"` // Empty for all.
	Failed    float64  `yaml:"failed"`
	Slow      float64  `yaml:"slow"`
}

// expectation is a phase that an upstream must reach within a time after From.
type expectation struct {
	Upstream string        `yaml:"upstream"`
	From     time.Duration `yaml:"from"`
	Within   time.Duration `yaml:"within"`
}

const (
	scriptStep   = 100 * time.Millisecond
	normalSlow   = 0.05
	normalFailed = 0.001
)

// TestScripts runs every script in testdata with several seeds.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			var s script
			require.NoError(t, yaml.UnmarshalWithOptions(text, &s, yaml.Strict()))
			falseEjections := 0
			for seed := range s.Seeds {
				falseEjections += runScript(t, &s, seed+1)
			}
			assert.LessOrEqual(t, falseEjections, s.FalseInAll, "false ejections over all seeds")
		})
	}
}

// scriptRun runs a script against an OutlierDetector in simulated time and records its decisions.
type scriptRun struct {
	script    *script
	detector  *OutlierDetector
	random    *rand.Rand
	start     time.Time
	phases    map[string]Phase
	history   []LogDecision
	maxOut    int
	ejections map[string]int
}

// runScript runs a script with one seed, checks the expectations and returns the number
// of ejections of upstreams in NeverOut.
func runScript(t *testing.T, s *script, seed uint64) int {
	t.Helper()
	start := time.Unix(1_000_000, 0)
	r := &scriptRun{
		script: s, random: rand.New(rand.NewPCG(seed, seed)), start: start,
		detector: NewOutlierDetector(Policy{Floor: s.Policy.Floor, Sensitivity: s.Policy.Sensitivity, OnlyAtMostOnce: s.Policy.OnlyAtMostOnce}),
		phases:   map[string]Phase{}, ejections: map[string]int{},
	}
	r.record(r.detector.Update(Members{At: start, Upstreams: s.Upstreams}))
	r.record(r.detector.Update(StartDeciding{At: start}))
	at := start
	for _, phase := range s.Phases {
		for end := at.Add(phase.For); at.Before(end); at = at.Add(scriptStep) {
			for _, reporter := range s.Reporters {
				if counts := r.counts(phase, reporter); len(counts) > 0 {
					r.record(r.detector.Update(Evidence{At: at, Reporter: reporter, Counts: counts}))
				}
			}
			r.record(r.detector.Update(Tick{At: at}))
		}
	}
	r.check(t, seed)
	falseEjections := 0
	for _, u := range s.NeverOut {
		falseEjections += r.ejections[u]
	}
	return falseEjections
}

// counts draws a reporter's observations in one step.
func (r *scriptRun) counts(phase scriptPhase, reporter string) []Count {
	var counts []Count
	perStep := r.script.Rate * scriptStep.Seconds() / float64(len(r.script.Reporters))
	for _, u := range r.script.Upstreams {
		n := 0
		switch r.phases[u] {
		case Out:
		case Trial:
			if r.random.Float64() < min(perStep, 1) {
				n = 1
			}
		default:
			n = int(perStep)
			if r.random.Float64() < perStep-float64(n) {
				n++
			}
		}
		c := Count{Upstream: u}
		failed, slow := observedRates(phase, reporter, u)
		for range n {
			switch x := r.random.Float64(); {
			case x < failed:
				c.Failed++
			case x < failed+(1-failed)*slow:
				c.Slow++
			default:
				c.Fast++
			}
		}
		if c.total() > 0 {
			counts = append(counts, c)
		}
	}
	return counts
}

// observedRates returns the rates of failures and slow responses that a reporter
// observes of an upstream.
func observedRates(phase scriptPhase, reporter, upstream string) (failed, slow float64) {
	for _, s := range phase.Sees {
		if contains(s.Upstreams, upstream) && contains(s.Reporters, reporter) {
			return max(s.Failed, normalFailed), max(s.Slow, normalSlow)
		}
	}
	return normalFailed, normalSlow
}

// contains reports whether the list is empty or has the name.
func contains(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, l := range list {
		if l == name {
			return true
		}
	}
	return false
}

// record records the decisions among commands.
func (r *scriptRun) record(commands []Command) {
	for _, c := range commands {
		if decision, ok := c.(LogDecision); ok {
			if decision.Phase == Out {
				r.ejections[decision.Upstream]++
			}
			r.phases[decision.Upstream] = decision.Phase
			r.history = append(r.history, decision)
		}
	}
	out := 0
	for _, p := range r.phases {
		if p == Out || p == Trial {
			out++
		}
	}
	r.maxOut = max(r.maxOut, out)
}

// check asserts the script's expectations.
func (r *scriptRun) check(t *testing.T, seed uint64) {
	t.Helper()
	for _, e := range r.script.Out {
		assert.True(t, r.decided(e, Out), "seed %d: %s was not ejected within %s after %s: %v", seed, e.Upstream, e.Within, e.From, r.history)
	}
	for _, e := range r.script.In {
		assert.True(t, r.decided(e, In), "seed %d: %s was not back in rotation within %s after %s: %v", seed, e.Upstream, e.Within, e.From, r.history)
	}
	for u, maxEjections := range r.script.MaxEjections {
		assert.LessOrEqual(t, r.ejections[u], maxEjections, "seed %d: %s", seed, u)
	}
	assert.LessOrEqual(t, r.maxOut, r.script.MaxOut, "seed %d", seed)
}

// decided reports whether the upstream reached a phase as expected.
func (r *scriptRun) decided(e expectation, p Phase) bool {
	for _, decision := range r.history {
		after := decision.At.Sub(r.start) - e.From
		if decision.Upstream == e.Upstream && decision.Phase == p && after >= 0 && after <= e.Within {
			return true
		}
	}
	return false
}
