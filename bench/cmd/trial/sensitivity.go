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

// tradeoff is what a policy does with counts that are drawn, not served: only so
// can days be looked at.
type tradeoff struct {
	Policy      string  `json:"policy"`
	Sensitivity float64 `json:"sensitivity,omitempty"`
	// False is ejections of healthy upstreams, per upstream and day.
	False float64 `json:"false_ejections_per_upstream_day"`
	Days  float64 `json:"upstream_days"`
	// Detection is the median time in ms until an upstream is out, by fault.
	Detection map[string]float64 `json:"detection_ms_p50"`
	Missed    map[string]int     `json:"missed"`
}

// world is the service that is drawn: Certificados under the letter's conditions.
const (
	worldUpstreams = 6
	worldNodes     = 9
	worldRate      = 20 // Requests a second for an upstream.
	worldFloor     = 4
	worldStep      = 250 * time.Millisecond
	worldError     = 0.002 // Of a healthy upstream's answers.
	worldSlow      = 0.05
	pauseEvery     = time.Minute // A healthy upstream stands still now and then...
	faultLength    = 60 * time.Second
	faultRuns      = 40
)

// faultShare is what a sick upstream's answers are like.
type faultShare struct {
	name         string
	failed, slow float64
}

var worldFaults = []faultShare{
	{"fails", 1, 0},
	{"tenth fails", 0.1, worldSlow},
	{"5x slower", worldError, 0.97},
	{"2x slower", worldError, 0.4},
}

func sensitivityCommand() *cobra.Command {
	var days float64
	var plotFile string
	c := &cobra.Command{
		Use:   "sensitivity",
		Short: "Draw detection time against false ejections over the sensitivity, in process",
		Args:  cobra.NoArgs,
	}
	c.Flags().Float64Var(&days, "days", 2, "days of a healthy service to draw for each policy")
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
		make        func(time.Time) decider
	}
	var policies []policy
	for _, s := range []float64{1000, 100, 10, 1, 0.1, 0.01, 0.001} {
		policies = append(policies, policy{ours, s, func(at time.Time) decider { return newJudged(s, at) }})
	}
	policies = append(policies,
		policy{"consecutive", 0, func(at time.Time) decider { return newLocals(baseline.Consecutive, at) }},
		policy{"deviation", 0, func(at time.Time) decider { return newLocals(baseline.Deviation, at) }})
	results := make([]*tradeoff, len(policies))
	var drawing sync.WaitGroup
	for i, p := range policies {
		drawing.Go(func() {
			r := &tradeoff{Policy: p.name, Sensitivity: p.sensitivity, Detection: map[string]float64{}, Missed: map[string]int{}}
			r.Days = length.Hours() / 24 * worldUpstreams
			r.False = float64(drawHealthy(p.make, length)) / r.Days
			for _, f := range worldFaults {
				r.Detection[f.name], r.Missed[f.name] = drawFault(p.make, f)
			}
			results[i] = r
		})
	}
	drawing.Wait()
	return results
}

// decider is a policy over all nodes of the drawn service.
type decider interface {
	// take gives every node what it saw in one step.
	take(at time.Time, seen [worldNodes][]core.Count)
	// out returns the share of the nodes that hold an upstream out.
	out(upstream int) float64
}

func worldName(i int) string { return fmt.Sprintf("u%d", i) }

func worldMembers(at time.Time) core.Members {
	m := core.Members{At: at}
	for i := range worldUpstreams {
		m.Upstreams = append(m.Upstreams, worldName(i))
	}
	return m
}

// judged is ours: one judge for all nodes.
type judged struct {
	judge  *core.Judge
	phases map[string]core.Phase
}

func newJudged(sensitivity float64, at time.Time) decider {
	j := &judged{judge: core.NewJudge(core.Policy{Floor: worldFloor, Sensitivity: sensitivity}), phases: map[string]core.Phase{}}
	j.judge.Update(worldMembers(at))
	j.judge.Update(core.Installed{At: at})
	return j
}

func (j *judged) take(at time.Time, seen [worldNodes][]core.Count) {
	for i, counts := range seen {
		j.note(j.judge.Update(core.Evidence{At: at, Reporter: fmt.Sprint(i), Counts: counts}))
	}
	j.note(j.judge.Update(core.Tick{At: at}))
}

func (j *judged) note(commands []core.Command) {
	for _, c := range commands {
		if d, ok := c.(core.Decided); ok {
			j.phases[d.Upstream] = d.Phase
		}
	}
}

func (j *judged) out(upstream int) float64 {
	if p := j.phases[worldName(upstream)]; p == core.Out || p == core.Trial {
		return 1
	}
	return 0
}

// locals is a baseline: each node for itself.
type locals struct{ nodes [worldNodes]node.Local }

func newLocals(make func(core.Policy) node.Local, at time.Time) decider {
	l := &locals{}
	for i := range l.nodes {
		l.nodes[i] = make(core.Policy{Floor: worldFloor})
		l.nodes[i].Update(worldMembers(at))
	}
	return l
}

func (l *locals) take(at time.Time, seen [worldNodes][]core.Count) {
	for i, n := range l.nodes {
		for _, c := range seen[i] {
			// One answer at a time, as the order matters to some.
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

func (l *locals) out(upstream int) float64 {
	share := 0.0
	for _, n := range l.nodes {
		if n.Weight(worldName(upstream)) == 0 {
			share += 1.0 / worldNodes
		}
	}
	return share
}

// world is the drawn upstreams.
type world struct{ pauses [worldUpstreams]int }

// pausing lets an upstream stand still for one step, or for two in a row: a
// quarter or half of a second.
func (w *world) pausing(r *rand.Rand, u int) bool {
	if w.pauses[u] == 0 && r.Float64() < worldStep.Seconds()/pauseEvery.Seconds() {
		w.pauses[u] = 1 + r.IntN(2)
	}
	if w.pauses[u] == 0 {
		return false
	}
	w.pauses[u]--
	return true
}

// draw makes what every node sees in a step. A healthy upstream stands still for
// a moment now and then, so slow answers come in bursts.
func (w *world) draw(r *rand.Rand, d decider, sick int, fault faultShare) [worldNodes][]core.Count {
	var seen [worldNodes][]core.Count
	perNode := worldRate * worldStep.Seconds() / worldNodes
	for u := range worldUpstreams {
		failed, slow := worldError, worldSlow
		if u == sick {
			failed, slow = fault.failed, fault.slow
		} else if w.pausing(r, u) {
			slow = 0.9
		}
		share := 1 - d.out(u)
		for n := range worldNodes {
			c := core.Count{Upstream: worldName(u)}
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

const nobodySick = -1

// drawHealthy counts ejections while nothing is wrong.
func drawHealthy(make func(time.Time) decider, length time.Duration) int {
	r := rand.New(rand.NewPCG(1, 1))
	at := time.Unix(1_000_000, 0)
	d := make(at)
	wrong, w := 0, &world{}
	var held [worldUpstreams]bool
	for end := at.Add(length); at.Before(end); at = at.Add(worldStep) {
		d.take(at, w.draw(r, d, nobodySick, faultShare{}))
		for u := range worldUpstreams {
			out := d.out(u) > 0
			if out && !held[u] {
				wrong++
			}
			held[u] = out
		}
	}
	return wrong
}

const (
	warmTime  = 30 * time.Second
	mostNodes = 0.9
)

// drawFault returns the median time until most nodes hold a sick upstream out.
func drawFault(make func(time.Time) decider, f faultShare) (median float64, missed int) {
	var times []float64
	for run := range uint64(faultRuns) {
		r := rand.New(rand.NewPCG(run, 2))
		at := time.Unix(1_000_000, 0)
		d, w := make(at), &world{}
		for end := at.Add(warmTime); at.Before(end); at = at.Add(worldStep) {
			d.take(at, w.draw(r, d, nobodySick, f))
		}
		began := at
		for end := at.Add(faultLength); at.Before(end) && d.out(0) < mostNodes; at = at.Add(worldStep) {
			d.take(at, w.draw(r, d, 0, f))
		}
		if d.out(0) < mostNodes {
			missed++
		}
		times = append(times, float64(at.Sub(began).Milliseconds()))
	}
	return quantile(sortedFloats(times), 0.5), missed
}

// plotTradeoffs draws detection against false ejections, a line for each fault.
func plotTradeoffs(file string, results []*tradeoff) error {
	p := plot.New()
	p.Title.Text = "Detection time and false ejections over the sensitivity"
	p.X.Label.Text = "false ejections an upstream and day (0 drawn at the left edge)"
	p.Y.Label.Text = "median detection, ms"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	const leftEdge = 0.05
	var lines []any
	for _, f := range worldFaults {
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
