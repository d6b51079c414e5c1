package ingress

import (
	"cmp"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/route"
)

// scenario is a data file: the load on a fleet, the injected faults and the expected
// results.
type scenario struct {
	Seeds    uint64                 `yaml:"seeds"` // Number of runs, each with its own random seed.
	Length   time.Duration          `yaml:"length"`
	Centres  int                    `yaml:"data_centres"`
	Nodes    int                    `yaml:"nodes"` // Of each data centre; 0 for one.
	Services map[string]serviceLoad `yaml:"services"`
	Routes   []routeLoad            `yaml:"routes"`
	Accounts []accountLoad          `yaml:"accounts"` // Each sends a part of the requests of every route.
	Bursts   []burst                `yaml:"bursts"`
	Faults   []fault                `yaml:"faults"`
	Count    Span                   `yaml:"count"`    // Only requests that arrive in this span are counted.
	Attempts int                    `yaml:"attempts"` // Upstreams that a request may be sent to; 0 for 2.
	Slack    float64                `yaml:"slack"`    // Repeats of each service in a window beyond the ratio; 0 for replaySlack a gate.
	Restarts []restart              `yaml:"restarts"`
	Troubles []gateTrouble          `yaml:"troubles"`
	Want     []expectation          `yaml:"want"`
}

type serviceLoad struct {
	Gates int `yaml:"gates"`
	Slots int `yaml:"slots"`
}

type routeLoad struct {
	Name      string        `yaml:"name"`
	Service   string        `yaml:"service"`
	Rate      float64       `yaml:"rate"` // Requests per second; 0 for a route of nested requests.
	Retryable bool          `yaml:"retryable"`
	Priority  int           `yaml:"priority"`
	Work      time.Duration `yaml:"work"`
	Spread    float64       `yaml:"spread"` // Standard deviation of the logarithm of the work.
	Target    time.Duration `yaml:"target"`
	Timeout   time.Duration `yaml:"timeout"`
	Calls     string        `yaml:"calls"`      // Route of the nested requests at the end of a run,
	CallTimes int           `yaml:"call_times"` // and their number; they run concurrently, and all must be answered.
	InTurn    bool          `yaml:"in_turn"`    // They run one after the other instead.
	CallShare float64       `yaml:"call_share"` // Share of the runs that make them; 0 for all.
}

type Span struct {
	From time.Duration `yaml:"from"`
	To   time.Duration `yaml:"to"`
}

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.To }

type burst struct {
	Span   `yaml:",inline"`
	Times  float64 `yaml:"times"`
	Centre string  `yaml:"data_centre"` // Where the requests arrive; "" for everywhere.
}

// accountLoad is a client account, or several like it.
type accountLoad struct {
	Span   `yaml:",inline"`
	Name   string  `yaml:"name"`
	Count  int     `yaml:"count"` // 0 for 1.
	Part   float64 `yaml:"part"`  // Of the requests, for each account.
	Times  float64 `yaml:"times"` // By what factor it sends more in the span.
	Weight float64 `yaml:"weight"`
}

// fault makes a share of a service's upstreams mishandle a share of their work.
type fault struct {
	Span    `yaml:",inline"`
	Service string  `yaml:"service"`
	Gates   float64 `yaml:"gates"`
	Work    float64 `yaml:"work"`
	How     string  `yaml:"how"`  // shed, break, hang, error or limit
	Rate    float64 `yaml:"rate"` // Named by each upstream with how: limit, in requests per second.
}

// restart replaces a share of a service's gates, again and again in a span.
type restart struct {
	Span    `yaml:",inline"`
	Service string        `yaml:"service"`
	Gates   float64       `yaml:"gates"`
	Every   time.Duration `yaml:"every"`
}

// expectation bounds the results of the requests of some routes, as shares of them, and
// how much worse they are with a mechanism switched off.
type expectation struct {
	Routes        []string      `yaml:"routes"` // Or names of accounts.
	InTime        float64       `yaml:"in_time_least"`
	Served        float64       `yaml:"served_least"`
	RefusedWithin time.Duration `yaml:"told_most"` // 90th percentile of the time until a refusal.
	Off           string        `yaml:"off"`
	Beside        string        `yaml:"beside"`     // Mechanism that is off in both runs compared: one that lessens the same loss.
	WorseBy       float64       `yaml:"worse_by"`   // Lost share of answers in time with the mechanism off.
	FewerBy       float64       `yaml:"fewer_by"`   // Lost share of served requests with the mechanism off.
	UsedLeast     float64       `yaml:"used_least"` // Starts while the upstreams name limits, as a share of what these allow.
	UsedMost      float64       `yaml:"used_most"`
	CrossingMore  *float64      `yaml:"crossing_more"` // How much larger the share of requests that start in another data centre may be than with the mechanism off.
}

func (l scenario) centres() []string {
	var out []string
	for i := range l.Centres {
		out = append(out, "dc-"+strconv.Itoa(i))
	}
	return out
}

func (l scenario) document() route.Document {
	d := route.Document{Version: 1}
	for name := range l.Services {
		d.Services = append(d.Services, route.Service{Name: name})
	}
	for _, r := range l.Routes {
		d.Routes = append(d.Routes, route.Route{Name: r.Name, Host: replayHost, Prefix: "/" + r.Name + "/", Retryable: r.Retryable, Priority: r.Priority,
			Timeout: r.Timeout, Target: r.Target, Attempts: cmp.Or(l.Attempts, 2), Open: true, Shares: []route.Share{{Service: r.Service, Weight: 1}}})
	}
	for _, a := range l.accounts() {
		if a.Name != "" {
			d.Accounts = append(d.Accounts, route.Account{Name: a.Name, Keys: []string{a.Name}, Weight: a.Weight})
		}
	}
	return d
}

// accounts returns the accounts with a name for each, or one without a name that sends all requests.
func (l scenario) accounts() []accountLoad {
	if len(l.Accounts) == 0 {
		return []accountLoad{{Part: 1}}
	}
	var out []accountLoad
	for _, a := range l.Accounts {
		name := a.Name
		for i := range max(a.Count, 1) {
			a.Name = name + strconv.Itoa(i)
			out = append(out, a)
		}
	}
	return out
}

// slack returns the repeats of a service in a window that are allowed beyond the ratio.
func (l scenario) slack(service string) float64 {
	return cmp.Or(l.Slack, float64(replaySlack*l.Services[service].Gates))
}

func (l scenario) route(name string) routeLoad {
	return l.Routes[slices.IndexFunc(l.Routes, func(r routeLoad) bool { return r.Name == name })]
}

// path returns the path of the route's requests.
func (r routeLoad) path() string { return "/" + r.Name + "/x" }

// factor returns by what factor bursts multiply the rates in a data centre at a time.
func (l scenario) factor(centre string, at time.Duration) float64 {
	f := 1.0
	for _, b := range l.Bursts {
		if b.contains(at) && (b.Centre == "" || b.Centre == centre) {
			f *= b.Times
		}
	}
	return f
}

// mostFactor returns the largest factor of any data centre at a time.
func (l scenario) mostFactor(at time.Duration) float64 {
	f := 0.0
	for _, centre := range l.centres() {
		f = max(f, l.factor(centre, at))
	}
	return f
}

// fault returns the fault of a run that starts now, "" for none.
func (l scenario) fault(service string, index int, at time.Duration, random *rand.Rand) string {
	for _, f := range l.Faults {
		hit := f.Service == service && f.contains(at) && float64(index) < f.Gates*float64(l.Services[service].Gates)
		if hit && random.Float64() < f.Work {
			return f.How
		}
	}
	return ""
}

// limit returns the limit that an upstream names at a time; 0 if it names none.
func (l scenario) limit(service string, index int, at time.Duration) float64 {
	for _, f := range l.Faults {
		if f.How == "limit" && f.Service == service && f.contains(at) && float64(index) < f.Gates*float64(l.Services[service].Gates) {
			return f.Rate
		}
	}
	return 0
}

// allowed returns how many starts the limits allow in the span that is counted.
func (l scenario) allowed() float64 {
	sum := 0.0
	for name, s := range l.Services {
		for i := range s.Gates {
			sum += l.limit(name, i, l.Count.From) * (l.Count.To - l.Count.From).Seconds()
		}
	}
	return sum
}

// limitedStarts names the count of starts by upstreams that name a limit among the results.
const limitedStarts = "starts by limited upstreams"

// outcome holds the results of a scenario's requests by route.
type outcome map[string]*totals

// runScenario runs a scenario with each of its seeds and sums the results. It is an error if a service
// gets more repeats than the fleet's limit allows.
func runScenario(l scenario, off ...string) (outcome, error) {
	sum := outcome{}
	for _, r := range l.Routes {
		sum[r.Name] = &totals{}
	}
	sum[limitedStarts] = &totals{}
	for _, a := range l.Accounts {
		sum[a.Name] = &totals{}
	}
	for seed := range l.Seeds {
		p, err := newReplay(l, seed, off...)
		if err != nil {
			return nil, err
		}
		p.run()
		if excess := p.arrivals.excess(l); excess != "" {
			return nil, errors.Errorf("seed %d: %s", seed, excess)
		}
		for name, t := range p.totals {
			sum[name].merge(t)
		}
	}
	return sum, nil
}

// shares returns which shares of some routes' requests were answered in time and answered
// at all, and the 90th percentile of the time until a refusal.
func (o outcome) shares(routes []string) (inTime, served float64, refusedWithin time.Duration) {
	var all totals
	for _, name := range routes {
		all.merge(o[name])
	}
	slices.Sort(all.refusalTimes)
	if len(all.refusalTimes) > 0 {
		refusedWithin = all.refusalTimes[len(all.refusalTimes)*9/10]
	}
	return float64(all.inTime) / float64(all.total), float64(all.inTime+all.late) / float64(all.total), refusedWithin
}

// crossing returns which share of some routes' requests started in another data centre than they
// arrived in.
func (o outcome) crossing(routes []string) float64 {
	var all totals
	for _, name := range routes {
		all.merge(o[name])
	}
	return float64(all.crossed) / float64(all.total)
}

// readScenario reads a scenario from its file.
func readScenario(t *testing.T, file string) scenario {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var l scenario
	require.NoError(t, yaml.UnmarshalWithOptions(text, &l, yaml.Strict()))
	return l
}

// forEachScenario runs a test with each scenario of a folder.
func forEachScenario(t *testing.T, pattern string, test func(t *testing.T, l scenario)) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { test(t, readScenario(t, file)) })
	}
}

// TestReplays runs each scenario of testdata/replays. Its bounds must hold with every
// mechanism on, and the results must be worse without the mechanism that it covers.
func TestReplays(t *testing.T) {
	forEachScenario(t, "testdata/replays/*.yaml", func(t *testing.T, l scenario) {
		with, err := runScenario(l)
		require.NoError(t, err)
		for _, w := range l.Want {
			w.check(t, l, with)
		}
	})
}

func (w expectation) check(t *testing.T, l scenario, with outcome) {
	t.Helper()
	inTime, served, refusedWithin := with.shares(w.Routes)
	t.Logf("%v: in time %.3f, served %.3f, 90%% of refusals within %v", w.Routes, inTime, served, refusedWithin)
	assert.GreaterOrEqual(t, inTime, w.InTime, "in time, %v", w.Routes)
	assert.GreaterOrEqual(t, served, w.Served, "served, %v", w.Routes)
	if w.UsedMost > 0 {
		used := float64(with[limitedStarts].total) / (l.allowed() * float64(l.Seeds))
		t.Logf("  of what the limits allow, %.3f used", used)
		assert.GreaterOrEqual(t, used, w.UsedLeast, "used")
		assert.LessOrEqual(t, used, w.UsedMost, "used")
	}
	if w.RefusedWithin > 0 {
		assert.LessOrEqual(t, refusedWithin, w.RefusedWithin, "time until refusal, %v", w.Routes)
	}
	if w.Off == "" {
		return
	}
	off := []string{w.Off}
	if w.Beside != "" {
		off = append(off, w.Beside)
		alone, err := runScenario(l, w.Beside)
		require.NoError(t, err)
		inTime, served, refusedWithin = alone.shares(w.Routes)
		t.Logf("  without %s: in time %.3f, served %.3f, 90%% of refusals within %v", w.Beside, inTime, served, refusedWithin)
	}
	without, err := runScenario(l, off...)
	require.NoError(t, err)
	less, fewer, later := without.shares(w.Routes)
	t.Logf("  without %v: in time %.3f, served %.3f, 90%% of refusals within %v", off, less, fewer, later)
	if w.CrossingMore != nil {
		crossing, before := with.crossing(w.Routes), without.crossing(w.Routes)
		t.Logf("  crossing data centres %.3f, without %v %.3f", crossing, off, before)
		assert.LessOrEqual(t, crossing-before, *w.CrossingMore, "crossing, %v", w.Routes)
	}
	assert.GreaterOrEqual(t, inTime-less, w.WorseBy, "%s, in time, %v", w.Off, w.Routes)
	assert.GreaterOrEqual(t, served-fewer, w.FewerBy, "%s, served, %v", w.Off, w.Routes)
}
