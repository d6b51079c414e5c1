package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	vegeta "github.com/tsenart/vegeta/v12/lib"
	"gonum.org/v1/gonum/stat"

	"eiderfold/bench/fleet"
)

// point is one measurement: a quantity at a size.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// slope is a quantity measured at several sizes, with the straight line through it.
type slope struct {
	Role      string  `json:"role"`
	Quantity  string  `json:"quantity"`
	Per       string  `json:"per"`
	Points    []point `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
	// Spread is the root mean square distance of the points from the line.
	Spread float64 `json:"spread"`
	// Target is the size in the letter, for one node, and At what the line gives.
	Target float64 `json:"target"`
	At     float64 `json:"at_target"`
}

func (s *slope) add(x, y float64) { s.Points = append(s.Points, point{x, y}) }

func (s *slope) fit() {
	var xs, ys []float64
	for _, p := range s.Points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	if math.IsNaN(s.R2) {
		s.R2 = 1 // All points are the same, and the line goes through them.
	}
	squares := 0.0
	for i := range xs {
		d := ys[i] - s.Intercept - s.Slope*xs[i]
		squares += d * d
	}
	s.Spread = math.Sqrt(squares / float64(len(xs)))
	s.At = s.Intercept + s.Slope*s.Target
}

// The letter's sizes for one group and node: 3,600 nodes, 36,000 upstreams, 720
// services and 340,000 accounts in some 360 templates.
const (
	targetNodes     = 10
	targetUpstreams = 100
	targetAccounts  = 945 // Of a template; a node holds one template's.
	targetRoutes    = 28  // Of a template.
	targetRate      = 264 // Requests a second through one node.
	targetClaims    = 238_000
)

func capacityCommand() *cobra.Command {
	var quick bool
	var plotFile string
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what each role of a node costs at several sizes, and fit lines",
		Args:  cobra.NoArgs,
	}
	c.Flags().BoolVar(&quick, "quick", false, "fewer sizes and shorter runs")
	c.Flags().StringVar(&plotFile, "plot", "docs/capacity.svg", "where to draw the lines; empty for nowhere")
	c.RunE = func(c *cobra.Command, _ []string) error {
		m, err := newMeter(quick)
		if err != nil {
			return err
		}
		defer m.close()
		slopes, err := m.all(c.Context())
		if err != nil {
			return err
		}
		for _, s := range slopes {
			s.fit()
			if err := json.NewEncoder(c.OutOrStdout()).Encode(s); err != nil {
				return err
			}
		}
		if plotFile == "" {
			return nil
		}
		return plotSlopes(plotFile, slopes)
	}
	return c
}

// meter runs fleets of several sizes.
type meter struct {
	dir      string
	binaries fleet.Binaries
	nodes    []int
	ups      []int
	rates    []int
	length   time.Duration
}

func newMeter(quick bool) (*meter, error) {
	dir, err := os.MkdirTemp("", "eiderfold-capacity")
	if err != nil {
		return nil, errors.Wrap(err, "capacity")
	}
	m := &meter{dir: dir, nodes: []int{2, 5, 10, 20, 40}, ups: []int{5, 20, 50, 100}, rates: []int{10, 50, 100, 200}, length: 10 * time.Second}
	if quick {
		m.nodes, m.ups, m.rates, m.length = []int{2, 5, 10}, []int{5, 20}, []int{10, 50}, 5*time.Second
	}
	m.binaries, err = fleet.Build(dir)
	return m, err
}

func (m *meter) close() { _ = os.RemoveAll(m.dir) }

func (m *meter) all(ctx context.Context) ([]*slope, error) {
	var slopes []*slope
	byNodes, err := m.byNodes(ctx)
	if err != nil {
		return nil, err
	}
	byUpstreams, err := m.byUpstreams(ctx)
	if err != nil {
		return nil, err
	}
	byRate, err := m.byRate(ctx)
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, byNodes...)
	slopes = append(slopes, byUpstreams...)
	slopes = append(slopes, byRate...)
	return append(slopes, inProcess()...), nil
}

// resting is what an idle fleet uses, by role.
type resting struct {
	leaderCPU, followerCPU     float64 // Share of a core, in percent.
	leaderBytes, followerBytes float64 // A second, both ways.
	leaderRSS, followerRSS     float64 // MB.
	calls                      float64 // Of the platform a second, waiting watches included.
}

func (m *meter) start(ctx context.Context, s fleet.Shape) (*fleet.Fleet, error) {
	dir, err := os.MkdirTemp(m.dir, "run")
	if err != nil {
		return nil, errors.Wrap(err, "capacity")
	}
	d, err := fleet.Synthetic(dir, s)
	if err != nil {
		return nil, err
	}
	return fleet.Start(ctx, m.binaries, d, fleet.Options{Dir: dir})
}

const (
	settleTime = 4 * time.Second
	percent    = 100
)

// rest measures a fleet for a while, with a load or without.
func (m *meter) rest(f *fleet.Fleet, rate int) (resting, error) {
	time.Sleep(settleTime)
	leader := f.Coordinator()
	if leader == nil {
		return resting{}, errors.New("the fleet has no coordinator")
	}
	before, started := measure(f), time.Now()
	calls, err := f.PlatformCounts()
	if err != nil {
		return resting{}, err
	}
	if rate == 0 {
		time.Sleep(m.length)
	} else {
		s := &scenario{Rate: float64(rate) * float64(len(f.Nodes)) / float64(len(f.Upstreams))}
		newLoad(f, s, 1).attack(m.length, func(*vegeta.Result) {})
	}
	after := measure(f).since(before, time.Since(started))
	now, err := f.PlatformCounts()
	if err != nil {
		return resting{}, err
	}
	r := resting{calls: float64(now.Reads+now.Writes+now.Watches-calls.Reads-calls.Writes-calls.Watches) / time.Since(started).Seconds()}
	followers := 0.0
	for i, n := range f.Nodes {
		if n == leader {
			r.leaderCPU, r.leaderBytes, r.leaderRSS = after.cpu[i]*percent, after.sent[i], after.rss[i]
			continue
		}
		followers++
		r.followerCPU += after.cpu[i] * percent
		r.followerBytes += after.sent[i]
		r.followerRSS = max(r.followerRSS, after.rss[i])
	}
	r.followerCPU /= max(followers, 1)
	r.followerBytes /= max(followers, 1)
	return r, nil
}

// roles makes the slopes that every row of sizes gives.
func roles(per string, target float64) (all []*slope, add func(x float64, r resting)) {
	make := func(role, quantity string) *slope {
		s := &slope{Role: role, Quantity: quantity, Per: per, Target: target}
		all = append(all, s)
		return s
	}
	leaderCPU, leaderBytes, leaderRSS := make("coordinator", "cpu_percent_of_core"), make("coordinator", "bytes_per_s"), make("coordinator", "rss_mb")
	followerCPU, followerBytes, followerRSS := make("other node", "cpu_percent_of_core"), make("other node", "bytes_per_s"), make("other node", "rss_mb")
	calls := make("group", "platform_calls_per_s")
	return all, func(x float64, r resting) {
		leaderCPU.add(x, r.leaderCPU)
		leaderBytes.add(x, r.leaderBytes)
		leaderRSS.add(x, r.leaderRSS)
		followerCPU.add(x, r.followerCPU)
		followerBytes.add(x, r.followerBytes)
		followerRSS.add(x, r.followerRSS)
		calls.add(x, r.calls)
	}
}

const (
	fixedUpstreams = 10
	fixedNodes     = 5
	someAccounts   = 20
	loadedWork     = time.Millisecond
	publishes      = 20
)

func (m *meter) byNodes(ctx context.Context) ([]*slope, error) {
	all, add := roles("node of the group", targetNodes)
	force := &slope{Role: "configuration", Quantity: "ms_until_in_force_everywhere_max", Per: "node of the group", Target: targetNodes}
	starts := &slope{Role: "group", Quantity: "platform_calls_per_restart", Per: "node of the group", Target: targetNodes}
	for _, n := range m.nodes {
		f, err := m.start(ctx, fleet.Shape{Nodes: n, Upstreams: fixedUpstreams, Slots: 9, Work: loadedWork, Accounts: someAccounts})
		if err != nil {
			return nil, err
		}
		r, err := m.rest(f, 0)
		if err == nil {
			add(float64(n), r)
			var worst float64
			worst, err = m.publish(f)
			force.add(float64(n), worst)
		}
		if err == nil {
			var calls float64
			calls, err = m.restart(ctx, f)
			starts.add(float64(n), calls)
		}
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return append(all, force, starts), nil
}

// restart kills a node that does not coordinate, runs it again, and returns how
// many calls of the platform that took.
func (m *meter) restart(ctx context.Context, f *fleet.Fleet) (float64, error) {
	n := f.Nodes[0]
	if n == f.Coordinator() {
		n = f.Nodes[1]
	}
	before, err := f.PlatformCounts()
	if err != nil {
		return 0, err
	}
	n.Kill()
	if err := f.Restart(ctx, n); err != nil {
		return 0, err
	}
	if err := f.WaitReady(ctx); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	after, err := f.PlatformCounts()
	return float64(after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes), err
}

// publish changes accounts one after the other and returns the longest time, in
// milliseconds, from the acceptance until the last node had a change in force.
func (m *meter) publish(f *fleet.Fleet) (float64, error) {
	worst := 0.0
	for i := range publishes {
		name := fmt.Sprintf("new-%d", i)
		before, err := f.Dump(f.Nodes[0])
		if err != nil {
			return 0, err
		}
		if output, err := f.Control(i%len(f.Nodes), "account", "set", f.Deployment.Name, name); err != nil {
			return 0, errors.Wrap(err, output)
		}
		accepted := time.Now()
		for _, n := range f.Nodes {
			for {
				d, err := f.Dump(n)
				if err != nil {
					return 0, err
				}
				if d.Accounts > before.Accounts {
					break
				}
			}
		}
		worst = max(worst, float64(time.Since(accepted).Microseconds())/microPerMilli)
	}
	return worst, nil
}

func (m *meter) byUpstreams(ctx context.Context) ([]*slope, error) {
	all, add := roles("upstream of the group", targetUpstreams)
	for _, u := range m.ups {
		f, err := m.start(ctx, fleet.Shape{Nodes: fixedNodes, Upstreams: u, Slots: 9, Work: loadedWork, Accounts: someAccounts})
		if err != nil {
			return nil, err
		}
		r, err := m.rest(f, 0)
		f.Close()
		if err != nil {
			return nil, err
		}
		add(float64(u), r)
	}
	return all, nil
}

// byRate shows what traffic adds to the messages; the processor time includes the
// requests themselves and so says nothing about control.
func (m *meter) byRate(ctx context.Context) ([]*slope, error) {
	all, add := roles("request/s through a node", targetRate)
	for _, rate := range m.rates {
		f, err := m.start(ctx, fleet.Shape{Nodes: fixedNodes, Upstreams: 50, Slots: 9, Work: loadedWork, Accounts: someAccounts})
		if err != nil {
			return nil, err
		}
		r, err := m.rest(f, rate)
		f.Close()
		if err != nil {
			return nil, err
		}
		add(float64(rate), r)
	}
	var messages []*slope
	for _, s := range all {
		if s.Quantity == "bytes_per_s" {
			messages = append(messages, s)
		}
	}
	return messages, nil
}
