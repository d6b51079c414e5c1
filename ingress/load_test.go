package ingress

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/route"
)

// load is a data file: what a fleet is asked, what goes wrong, and what has to come of it.
type load struct {
	Seeds    uint64                 `yaml:"seeds"` // How often it is played, each time with other luck.
	Length   time.Duration          `yaml:"length"`
	Centres  int                    `yaml:"data_centres"`
	Services map[string]serviceLoad `yaml:"services"`
	Routes   []routeLoad            `yaml:"routes"`
	Bursts   []burst                `yaml:"bursts"`
	Faults   []fault                `yaml:"faults"`
	Count    Span                   `yaml:"count"` // Requests that arrive within are counted.
	Want     []expectation          `yaml:"want"`
}

type serviceLoad struct {
	Gates int `yaml:"gates"`
	Slots int `yaml:"slots"`
}

type routeLoad struct {
	Name      string        `yaml:"name"`
	Service   string        `yaml:"service"`
	Rate      float64       `yaml:"rate"` // Requests a second; 0 for a route of calls.
	Retryable bool          `yaml:"retryable"`
	Priority  int           `yaml:"priority"`
	Work      time.Duration `yaml:"work"`
	Spread    float64       `yaml:"spread"` // Of the logarithm of the work.
	Target    time.Duration `yaml:"target"`
	Timeout   time.Duration `yaml:"timeout"`
	Calls     string        `yaml:"calls"`      // The route that a run calls at its end,
	CallTimes int           `yaml:"call_times"` // so often at once; all have to be answered.
}

type Span struct {
	From time.Duration `yaml:"from"`
	To   time.Duration `yaml:"to"`
}

func (s Span) holds(at time.Duration) bool { return at >= s.From && at < s.To }

type burst struct {
	Span  `yaml:",inline"`
	Times float64 `yaml:"times"`
}

// fault lets a share of a service's upstreams treat a share of their work so.
type fault struct {
	Span    `yaml:",inline"`
	Service string  `yaml:"service"`
	Gates   float64 `yaml:"gates"`
	Work    float64 `yaml:"work"`
	How     string  `yaml:"how"` // shed, break or hang
}

// expectation bounds what becomes of the requests of some routes, by share, and how much worse
// it is without a mechanism.
type expectation struct {
	Routes  []string      `yaml:"routes"`
	InTime  float64       `yaml:"in_time_least"`
	Served  float64       `yaml:"served_least"`
	Told    time.Duration `yaml:"told_most"` // Until nine of ten refusals.
	Off     string        `yaml:"off"`
	WorseBy float64       `yaml:"worse_by"` // In time, with the mechanism off.
	FewerBy float64       `yaml:"fewer_by"` // Served, with the mechanism off.
}

func (l load) centres() []string {
	var out []string
	for i := range l.Centres {
		out = append(out, "dc-"+strconv.Itoa(i))
	}
	return out
}

func (l load) document() route.Document {
	d := route.Document{Version: 1}
	for name := range l.Services {
		d.Services = append(d.Services, route.Service{Name: name})
	}
	for _, r := range l.Routes {
		d.Routes = append(d.Routes, route.Route{Name: r.Name, Host: replayHost, Prefix: "/" + r.Name + "/", Retryable: r.Retryable, Priority: r.Priority,
			Timeout: r.Timeout, Target: r.Target, Attempts: 2, Shares: []route.Share{{Service: r.Service, Weight: 1}}})
	}
	return d
}

func (l load) route(name string) routeLoad {
	return l.Routes[slices.IndexFunc(l.Routes, func(r routeLoad) bool { return r.Name == name })]
}

// path is that of the route's requests.
func (r routeLoad) path() string { return "/" + r.Name + "/x" }

// factor is how many times the usual load comes now.
func (l load) factor(at time.Duration) float64 {
	f := 1.0
	for _, b := range l.Bursts {
		if b.holds(at) {
			f *= b.Times
		}
	}
	return f
}

// fault says how an upstream treats a run that begins now, "" for well.
func (l load) fault(service string, index int, at time.Duration, random *rand.Rand) string {
	for _, f := range l.Faults {
		hit := f.Service == service && f.holds(at) && float64(index) < f.Gates*float64(l.Services[service].Gates)
		if hit && random.Float64() < f.Work {
			return f.How
		}
	}
	return ""
}

// outcome is what became of a load's requests, by route.
type outcome map[string]*totals

// playLoad plays a load with each of its seeds.
func playLoad(l load, off ...string) (outcome, error) {
	sum := outcome{}
	for _, r := range l.Routes {
		sum[r.Name] = &totals{}
	}
	for seed := range l.Seeds {
		p, err := newReplay(l, seed, off...)
		if err != nil {
			return nil, err
		}
		p.run()
		for name, t := range p.totals {
			sum[name].merge(t)
		}
	}
	return sum, nil
}

// shares sums up what became of some routes' requests.
func (o outcome) shares(routes []string) (inTime, served float64, told time.Duration) {
	var all totals
	for _, name := range routes {
		all.merge(o[name])
	}
	slices.Sort(all.told)
	if len(all.told) > 0 {
		told = all.told[len(all.told)*9/10]
	}
	return float64(all.inTime) / float64(all.asked), float64(all.inTime+all.late) / float64(all.asked), told
}

// TestReplays plays each load of testdata/replays: with every mechanism on the bounds
// hold, and without the one that the load was written for fewer are served in time.
func TestReplays(t *testing.T) {
	files, err := filepath.Glob("testdata/replays/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			var l load
			require.NoError(t, yaml.UnmarshalWithOptions(text, &l, yaml.Strict()))
			with, err := playLoad(l)
			require.NoError(t, err)
			for _, w := range l.Want {
				w.check(t, l, with)
			}
		})
	}
}

func (w expectation) check(t *testing.T, l load, with outcome) {
	t.Helper()
	inTime, served, told := with.shares(w.Routes)
	t.Logf("%v: in time %.3f, served %.3f, nine of ten refusals told within %v", w.Routes, inTime, served, told)
	assert.GreaterOrEqual(t, inTime, w.InTime, "in time, %v", w.Routes)
	assert.GreaterOrEqual(t, served, w.Served, "served, %v", w.Routes)
	if w.Told > 0 {
		assert.LessOrEqual(t, told, w.Told, "told, %v", w.Routes)
	}
	if w.Off == "" {
		return
	}
	without, err := playLoad(l, w.Off)
	require.NoError(t, err)
	less, fewer, later := without.shares(w.Routes)
	t.Logf("  without %s: in time %.3f, served %.3f, told within %v", w.Off, less, fewer, later)
	assert.GreaterOrEqual(t, inTime-less, w.WorseBy, "%s, in time, %v", w.Off, w.Routes)
	assert.GreaterOrEqual(t, served-fewer, w.FewerBy, "%s, served, %v", w.Off, w.Routes)
}
