package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"eiderfold/bench/baseline"
	"eiderfold/core"
	"eiderfold/node"
)

// tradeoff holds the figures of a policy for simulated counts of answers. Simulation covers
// days of traffic, which real processes cannot.
type tradeoff struct {
	Policy      string  `json:"policy"`
	Sensitivity float64 `json:"sensitivity,omitempty"`
	// False is the number of ejections of healthy upstreams, per upstream and day.
	False float64 `json:"false_ejections_per_upstream_day"`
	Days  float64 `json:"upstream_days"`
	// Detection is the median time in milliseconds until an upstream is ejected, by fault.
	Detection map[string]float64 `json:"detection_ms_p50"`
	Missed    map[string]int     `json:"missed"`
}

// The simulated service, modelled on Certificados.
const (
	simUpstreams  = 6
	simNodes      = 9
	simRate       = 20 // Requests a second for an upstream.
	simFloor      = 4
	simStep       = 250 * time.Millisecond // Simulated time of one step.
	simError      = 0.002                  // Share of failures of a healthy upstream.
	simSlow       = 0.05                   // Share of slow answers of a healthy upstream.
	stallInterval = time.Minute            // Mean time between stalls of a healthy upstream.
	faultLength   = 60 * time.Second
	faultRuns     = 40
)

// faultProfile holds the shares of failed and slow answers of a faulty upstream.
type faultProfile struct {
	name         string
	failed, slow float64
}

var simFaults = []faultProfile{
	{"fails", 1, 0},
	{"tenth fails", 0.1, simSlow},
	{"5x slower", simError, 0.97},
	{"2x slower", simError, 0.4},
}

func sensitivityCommand() *cobra.Command {
	var days float64
	var plotFile string
	c := &cobra.Command{
		Use:   "sensitivity",
		Short: "Draw detection time against false ejections over the sensitivity, in process",
		Args:  cobra.NoArgs,
	}
	c.Flags().Float64Var(&days, "days", 2, "days of a healthy service to simulate for each policy")
	c.Flags().StringVar(&plotFile, "plot", "docs/sensitivity.svg", "where to draw; empty for nowhere")
	c.RunE = func(c *cobra.Command, _ []string) error {
		results := tradeoffs(time.Duration(days * float64(24*time.Hour)))
		for _, r := range results {
			if err := json.NewEncoder(c.OutOrStdout()).Encode(r); err != nil {
				return errors.Wrap(err, "print")
			}
		}
		if plotFile == "" {
			return nil
		}
		return plotTradeoffs(plotFile, results)
	}
	return c
}

func tradeoffs(length time.Duration) []*tradeoff {
	type policy struct {
		name        string
		sensitivity float64
		newDetector func(time.Time) detector
	}
	var policies []policy
	for _, s := range []float64{1000, 100, 10, 1, 0.1, 0.01, 0.001} {
		policies = append(policies, policy{ours, s, func(at time.Time) detector { return newCoordinated(s, at) }})
	}
	policies = append(policies,
		policy{"consecutive", 0, func(at time.Time) detector { return newLocals(baseline.Consecutive, at) }},
		policy{"deviation", 0, func(at time.Time) detector { return newLocals(baseline.Deviation, at) }})
	results := make([]*tradeoff, len(policies))
	var running sync.WaitGroup
	for i, p := range policies {
		running.Go(func() {
			r := &tradeoff{Policy: p.name, Sensitivity: p.sensitivity, Detection: map[string]float64{}, Missed: map[string]int{}}
			r.Days = length.Hours() / 24 * simUpstreams
			r.False = float64(simulateHealthy(p.newDetector, length)) / r.Days
			for _, f := range simFaults {
				r.Detection[f.name], r.Missed[f.name] = simulateFault(p.newDetector, f)
			}
			results[i] = r
		})
	}
	running.Wait()
	return results
}

// detector is a policy over all nodes of the simulated service.
type detector interface {
	// observe passes to every node the counts that it saw in one step.
	observe(at time.Time, seen [simNodes][]core.Count)
	// ejectedShare returns the share of the nodes on which an upstream is ejected.
	ejectedShare(upstream int) float64
}

func simName(i int) string { return fmt.Sprintf("u%d", i) }

func simMembers(at time.Time) core.Members {
	m := core.Members{At: at}
	for i := range simUpstreams {
		m.Upstreams = append(m.Upstreams, simName(i))
	}
	return m
}

// coordinated is eiderfold's own policy: one outlier detector for all nodes.
type coordinated struct {
	detector *core.OutlierDetector
	phases   map[string]core.Phase
}

func newCoordinated(sensitivity float64, at time.Time) detector {
	d := &coordinated{detector: core.NewOutlierDetector(core.Policy{Floor: simFloor, Sensitivity: sensitivity}), phases: map[string]core.Phase{}}
	d.detector.Update(simMembers(at))
	d.detector.Update(core.StartDeciding{At: at})
	return d
}

func (d *coordinated) observe(at time.Time, seen [simNodes][]core.Count) {
	for i, counts := range seen {
		d.record(d.detector.Update(core.Evidence{At: at, Reporter: fmt.Sprint(i), Counts: counts}))
	}
	d.record(d.detector.Update(core.Tick{At: at}))
}

func (d *coordinated) record(commands []core.Command) {
	for _, c := range commands {
		if decision, ok := c.(core.LogDecision); ok {
			d.phases[decision.Upstream] = decision.Phase
		}
	}
}

func (d *coordinated) ejectedShare(upstream int) float64 {
	if p := d.phases[simName(upstream)]; p == core.Out || p == core.Trial {
		return 1
	}
	return 0
}

// locals is a baseline policy, which each node applies independently.
type locals struct{ nodes [simNodes]node.Local }

func newLocals(newDetector func(core.Policy) node.Local, at time.Time) detector {
	l := &locals{}
	for i := range l.nodes {
		l.nodes[i] = newDetector(core.Policy{Floor: simFloor})
		l.nodes[i].Update(simMembers(at))
	}
	return l
}

func (l *locals) observe(at time.Time, seen [simNodes][]core.Count) {
	for i, n := range l.nodes {
		for _, c := range seen[i] {
			// One answer at a time, since some policies depend on the order.
			for range c.Fast + c.Slow {
				n.Update(core.Evidence{At: at, Counts: []core.Count{{Upstream: c.Upstream, Fast: 1}}})
			}
			for range c.Failed {
				n.Update(core.Evidence{At: at, Counts: []core.Count{{Upstream: c.Upstream, Failed: 1}}})
			}
		}
		n.Update(core.Tick{At: at})
	}
}

func (l *locals) ejectedShare(upstream int) float64 {
	share := 0.0
	for _, n := range l.nodes {
		if n.Weight(simName(upstream)) == 0 {
			share += 1.0 / simNodes
		}
	}
	return share
}

// simulation holds the remaining steps of each upstream's stall.
type simulation struct{ stalls [simUpstreams]int }

// stalled reports whether an upstream stalls in this step. A stall starts at random and
// lasts one or two steps.
func (sim *simulation) stalled(r *rand.Rand, u int) bool {
	if sim.stalls[u] == 0 && r.Float64() < simStep.Seconds()/stallInterval.Seconds() {
		sim.stalls[u] = 1 + r.IntN(2)
	}
	if sim.stalls[u] == 0 {
		return false
	}
	sim.stalls[u]--
	return true
}

// step returns the random counts that every node sees in a step. Healthy upstreams stall
// at times, so their slow answers come in bursts.
func (sim *simulation) step(r *rand.Rand, d detector, faulty int, fault faultProfile) [simNodes][]core.Count {
	var seen [simNodes][]core.Count
	perNode := simRate * simStep.Seconds() / simNodes
	for u := range simUpstreams {
		failed, slow := simError, simSlow
		if u == faulty {
			failed, slow = fault.failed, fault.slow
		} else if sim.stalled(r, u) {
			slow = 0.9
		}
		share := 1 - d.ejectedShare(u)
		for n := range simNodes {
			c := core.Count{Upstream: simName(u)}
			for x := perNode * max(share, 0.02); x > 0; x-- {
				if r.Float64() < min(x, 1) {
					count(&c, r, failed, slow)
				}
			}
			if c.Fast+c.Slow+c.Failed > 0 {
				seen[n] = append(seen[n], c)
			}
		}
	}
	return seen
}

func count(c *core.Count, r *rand.Rand, failed, slow float64) {
	switch x := r.Float64(); {
	case x < failed:
		c.Failed++
	case x < failed+(1-failed)*slow:
		c.Slow++
	default:
		c.Fast++
	}
}

const noFaulty = -1 // Index for no faulty upstream.

// simulateHealthy returns the number of ejections without any fault.
func simulateHealthy(newDetector func(time.Time) detector, length time.Duration) int {
	r := rand.New(rand.NewPCG(1, 1))
	at := time.Unix(1_000_000, 0)
	d := newDetector(at)
	falseEjections, sim := 0, &simulation{}
	var wasEjected [simUpstreams]bool
	for end := at.Add(length); at.Before(end); at = at.Add(simStep) {
		d.observe(at, sim.step(r, d, noFaulty, faultProfile{}))
		for u := range simUpstreams {
			ejected := d.ejectedShare(u) > 0
			if ejected && !wasEjected[u] {
				falseEjections++
			}
			wasEjected[u] = ejected
		}
	}
	return falseEjections
}

const (
	warmupTime      = 30 * time.Second
	minEjectedShare = 0.9
)

// simulateFault returns the median time in milliseconds until minEjectedShare of the nodes
// have ejected a faulty upstream, and the number of runs in which they did not.
func simulateFault(newDetector func(time.Time) detector, f faultProfile) (median float64, missed int) {
	var times []float64
	for run := range uint64(faultRuns) {
		r := rand.New(rand.NewPCG(run, 2))
		at := time.Unix(1_000_000, 0)
		d, sim := newDetector(at), &simulation{}
		for end := at.Add(warmupTime); at.Before(end); at = at.Add(simStep) {
			d.observe(at, sim.step(r, d, noFaulty, f))
		}
		began := at
		for end := at.Add(faultLength); at.Before(end) && d.ejectedShare(0) < minEjectedShare; at = at.Add(simStep) {
			d.observe(at, sim.step(r, d, 0, f))
		}
		if d.ejectedShare(0) < minEjectedShare {
			missed++
		}
		times = append(times, float64(at.Sub(began).Milliseconds()))
	}
	return quantile(sortedFloats(times), 0.5), missed
}

// plotTradeoffs plots detection time against false ejections, one line for each policy and
// fault.
func plotTradeoffs(file string, results []*tradeoff) error {
	p := plot.New()
	p.Title.Text = "Detection time and false ejections over the sensitivity"
	p.X.Label.Text = "false ejections an upstream and day (0 drawn at the left edge)"
	p.Y.Label.Text = "median detection, ms"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	const leftEdge = 0.05
	var lines []any
	for _, f := range simFaults {
		for _, name := range []string{ours, "consecutive", "deviation"} {
			var points plotter.XYs
			for _, r := range results {
				if r.Policy == name && r.Missed[f.name] < faultRuns/2 {
					points = append(points, plotter.XY{X: max(r.False, leftEdge), Y: max(r.Detection[f.name], 1)})
				}
			}
			if len(points) > 0 {
				lines = append(lines, name+": "+f.name, points)
			}
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	p.Legend.Top = true
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}
