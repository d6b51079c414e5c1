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

// script is a data file: what each node sees of each upstream over time, and what
// the judge must and must not decide.
type script struct {
	Policy struct {
		Floor          int     `yaml:"floor"`
		Sensitivity    float64 `yaml:"sensitivity"`
		OnlyAtMostOnce bool    `yaml:"only_at_most_once"`
	} `yaml:"policy"`
	Upstreams []string      `yaml:"upstreams"`
	Reporters []string      `yaml:"reporters"`
	Rate      float64       `yaml:"rate"` // Requests a second for an upstream, over all reporters.
	Seeds     uint64        `yaml:"seeds"`
	Phases    []scriptPhase `yaml:"phases"`
	Out       []expectation `yaml:"out"` // Must be ejected.
	NeverOut  []string      `yaml:"never_out"`
	// FalseInAll is how many ejections of those all seeds together may have: 0 but
	// where chance alone explains some.
	FalseInAll int            `yaml:"false_in_all"`
	In         []expectation  `yaml:"in"`       // Must be back in rotation.
	MostOut    int            `yaml:"most_out"` // At a time.
	Ejections  map[string]int `yaml:"most_ejections"`
}

type scriptPhase struct {
	For  time.Duration `yaml:"for"`
	Sees []scriptSight `yaml:"sees"`
}

// scriptSight is the shares of bad answers that some reporters see of some upstreams.
type scriptSight struct {
	Upstreams []string `yaml:"upstreams"` // Empty for all.
	Reporters []string `yaml:"reporters"` // Empty for all.
	Failed    float64  `yaml:"failed"`
	Slow      float64  `yaml:"slow"`
}

type expectation struct {
	Upstream string        `yaml:"upstream"`
	From     time.Duration `yaml:"from"`
	Within   time.Duration `yaml:"within"`
}

const (
	scriptStep  = 100 * time.Millisecond
	usualSlow   = 0.05
	usualFailed = 0.001
)

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
			wrong := 0
			for seed := range s.Seeds {
				wrong += runScript(t, &s, seed+1)
			}
			assert.LessOrEqual(t, wrong, s.FalseInAll, "false ejections over all seeds")
		})
	}
}

// scriptRun is a judge with a simulated time and what it has decided.
type scriptRun struct {
	script    *script
	judge     *Judge
	random    *rand.Rand
	start     time.Time
	phases    map[string]Phase
	history   []Decided
	mostOut   int
	ejections map[string]int
}

// runScript returns how many upstreams were ejected that never should be.
func runScript(t *testing.T, s *script, seed uint64) int {
	t.Helper()
	start := time.Unix(1_000_000, 0)
	r := &scriptRun{
		script: s, random: rand.New(rand.NewPCG(seed, seed)), start: start,
		judge:  NewJudge(Policy{Floor: s.Policy.Floor, Sensitivity: s.Policy.Sensitivity, OnlyAtMostOnce: s.Policy.OnlyAtMostOnce}),
		phases: map[string]Phase{}, ejections: map[string]int{},
	}
	r.take(r.judge.Update(Members{At: start, Upstreams: s.Upstreams}))
	r.take(r.judge.Update(Installed{At: start}))
	at := start
	for _, phase := range s.Phases {
		for end := at.Add(phase.For); at.Before(end); at = at.Add(scriptStep) {
			for _, reporter := range s.Reporters {
				if counts := r.counts(phase, reporter); len(counts) > 0 {
					r.take(r.judge.Update(Evidence{At: at, Reporter: reporter, Counts: counts}))
				}
			}
			r.take(r.judge.Update(Tick{At: at}))
		}
	}
	r.check(t, seed)
	wrong := 0
	for _, u := range s.NeverOut {
		wrong += r.ejections[u]
	}
	return wrong
}

// counts draws what a reporter sees in one step.
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
		failed, slow := sight(phase, reporter, u)
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

func sight(phase scriptPhase, reporter, upstream string) (failed, slow float64) {
	for _, s := range phase.Sees {
		if contains(s.Upstreams, upstream) && contains(s.Reporters, reporter) {
			return max(s.Failed, usualFailed), max(s.Slow, usualSlow)
		}
	}
	return usualFailed, usualSlow
}

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

func (r *scriptRun) take(commands []Command) {
	for _, c := range commands {
		if d, ok := c.(Decided); ok {
			if d.Phase == Out {
				r.ejections[d.Upstream]++
			}
			r.phases[d.Upstream] = d.Phase
			r.history = append(r.history, d)
		}
	}
	out := 0
	for _, p := range r.phases {
		if p == Out || p == Trial {
			out++
		}
	}
	r.mostOut = max(r.mostOut, out)
}

func (r *scriptRun) check(t *testing.T, seed uint64) {
	t.Helper()
	for _, e := range r.script.Out {
		assert.True(t, r.decided(e, Out), "seed %d: %s is not out by %s after %s: %v", seed, e.Upstream, e.Within, e.From, r.history)
	}
	for _, e := range r.script.In {
		assert.True(t, r.decided(e, In), "seed %d: %s is not in by %s after %s: %v", seed, e.Upstream, e.Within, e.From, r.history)
	}
	for u, most := range r.script.Ejections {
		assert.LessOrEqual(t, r.ejections[u], most, "seed %d: %s", seed, u)
	}
	assert.LessOrEqual(t, r.mostOut, r.script.MostOut, "seed %d", seed)
}

func (r *scriptRun) decided(e expectation, p Phase) bool {
	for _, d := range r.history {
		after := d.At.Sub(r.start) - e.From
		if d.Upstream == e.Upstream && d.Phase == p && after >= 0 && after <= e.Within {
			return true
		}
	}
	return false
}
