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

// point is one measurement: quantity Y at size X.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// slope is a quantity measured at several sizes, with a linear fit.
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
	// Target is the required size for one node, and At the value of the fit there.
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
		s.R2 = 1 // All values are equal, so the fit is exact.
	}
	squares := 0.0
	for i := range xs {
		d := ys[i] - s.Intercept - s.Slope*xs[i]
		squares += d * d
	}
	s.Spread = math.Sqrt(squares / float64(len(xs)))
	s.At = s.Intercept + s.Slope*s.Target
}

// Required sizes for one group and node, from a total of 3,600 nodes, 36,000 upstreams,
// 720 services and 340,000 accounts in some 360 templates.
const (
	targetNodes     = 10
	targetUpstreams = 100
	targetAccounts  = 945     // Of one template; a node holds the accounts of one.
	targetRoutes    = 28      // Of one template.
	targetRate      = 264     // Requests a second through one node.
	targetClaims    = 238_000 // Keyed operations in the window.
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
		slopes, err := m.measureAll(c.Context())
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

// meter measures fleets of several sizes.
type meter struct {
	dir       string
	binaries  fleet.Binaries
	nodes     []int
	upstreams []int
	rates     []int         // Requests a second for each node.
	length    time.Duration // Of one measurement.
}

func newMeter(quick bool) (*meter, error) {
	dir, err := os.MkdirTemp("", "eiderfold-capacity")
	if err != nil {
		return nil, errors.Wrap(err, "capacity")
	}
	m := &meter{dir: dir, nodes: []int{2, 5, 10, 20, 40}, upstreams: []int{5, 20, 50, 100}, rates: []int{10, 50, 100, 200}, length: 10 * time.Second}
	if quick {
		m.nodes, m.upstreams, m.rates, m.length = []int{2, 5, 10}, []int{5, 20}, []int{10, 50}, 5*time.Second
	}
	m.binaries, err = fleet.Build(dir)
	return m, err
}

func (m *meter) close() { _ = os.RemoveAll(m.dir) }

func (m *meter) measureAll(ctx context.Context) ([]*slope, error) {
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
	return append(slopes, measureInProcess()...), nil
}

// roleUsage is the resource usage of a fleet, by role.
type roleUsage struct {
	leaderCPU, followerCPU     float64 // Percent of a core.
	leaderBytes, followerBytes float64 // Control bytes a second, sent and received.
	leaderRSS, followerRSS     float64 // MB.
	calls                      float64 // Platform calls a second, including pending watches.
}

func (m *meter) start(ctx context.Context, s fleet.SyntheticSize) (*fleet.Fleet, error) {
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

// measureRoles measures a fleet for m.length, with the given rate for each node; 0 leaves
// it idle.
func (m *meter) measureRoles(f *fleet.Fleet, rate int) (roleUsage, error) {
	time.Sleep(settleTime)
	leader := f.Coordinator()
	if leader == nil {
		return roleUsage{}, errors.New("the fleet has no coordinator")
	}
	before, started := measureUsage(f), time.Now()
	calls, err := f.PlatformCounts()
	if err != nil {
		return roleUsage{}, err
	}
	if rate == 0 {
		time.Sleep(m.length)
	} else {
		s := &scenario{Rate: float64(rate) * float64(len(f.Nodes)) / float64(len(f.Upstreams))}
		newLoad(f, s, 1).attack(m.length, func(*vegeta.Result) {})
	}
	after := measureUsage(f).since(before, time.Since(started))
	now, err := f.PlatformCounts()
	if err != nil {
		return roleUsage{}, err
	}
	r := roleUsage{calls: float64(now.Reads+now.Writes+now.Watches-calls.Reads-calls.Writes-calls.Watches) / time.Since(started).Seconds()}
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

// roleSlopes returns the slopes common to all series of sizes, and a function that adds a
// measurement to each of them.
func roleSlopes(per string, target float64) (all []*slope, add func(x float64, r roleUsage)) {
	newSlope := func(role, quantity string) *slope {
		s := &slope{Role: role, Quantity: quantity, Per: per, Target: target}
		all = append(all, s)
		return s
	}
	leaderCPU, leaderBytes, leaderRSS := newSlope("coordinator", "cpu_percent_of_core"), newSlope("coordinator", "bytes_per_s"), newSlope("coordinator", "rss_mb")
	followerCPU, followerBytes, followerRSS := newSlope("other node", "cpu_percent_of_core"), newSlope("other node", "bytes_per_s"), newSlope("other node", "rss_mb")
	calls := newSlope("group", "platform_calls_per_s")
	return all, func(x float64, r roleUsage) {
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
	all, add := roleSlopes("node of the group", targetNodes)
	inForce := &slope{Role: "configuration", Quantity: "ms_until_in_force_everywhere_max", Per: "node of the group", Target: targetNodes}
	restarts := &slope{Role: "group", Quantity: "platform_calls_per_restart", Per: "node of the group", Target: targetNodes}
	for _, n := range m.nodes {
		f, err := m.start(ctx, fleet.SyntheticSize{Nodes: n, Upstreams: fixedUpstreams, Slots: 9, Work: loadedWork, Accounts: someAccounts})
		if err != nil {
			return nil, err
		}
		r, err := m.measureRoles(f, 0)
		if err == nil {
			add(float64(n), r)
			var worst float64
			worst, err = m.publish(f)
			inForce.add(float64(n), worst)
		}
		if err == nil {
			var calls float64
			calls, err = m.restart(ctx, f)
			restarts.add(float64(n), calls)
		}
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return append(all, inForce, restarts), nil
}

// restart kills a node that is not the coordinator, starts it again, and returns the number
// of platform calls in the meantime.
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

// publish adds accounts one by one and returns the longest time, in milliseconds, from
// the acceptance of a change until it was in force on every node.
func (m *meter) publish(f *fleet.Fleet) (float64, error) {
	worst := 0.0
	for i := range publishes {
		name := fmt.Sprintf("new-%d", i)
		before, err := f.Dump(f.Nodes[0])
		if err != nil {
			return 0, err
		}
		if output, err := f.Eiderctl(i%len(f.Nodes), "account", "set", f.Deployment.Name, name); err != nil {
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
	all, add := roleSlopes("upstream of the group", targetUpstreams)
	for _, u := range m.upstreams {
		f, err := m.start(ctx, fleet.SyntheticSize{Nodes: fixedNodes, Upstreams: u, Slots: 9, Work: loadedWork, Accounts: someAccounts})
		if err != nil {
			return nil, err
		}
		r, err := m.measureRoles(f, 0)
		f.Close()
		if err != nil {
			return nil, err
		}
		add(float64(u), r)
	}
	return all, nil
}

// byRate returns how control messages grow with traffic. It omits CPU time, which includes
// the time spent on the requests themselves.
func (m *meter) byRate(ctx context.Context) ([]*slope, error) {
	all, add := roleSlopes("request/s through a node", targetRate)
	for _, rate := range m.rates {
		f, err := m.start(ctx, fleet.SyntheticSize{Nodes: fixedNodes, Upstreams: 50, Slots: 9, Work: loadedWork, Accounts: someAccounts})
		if err != nil {
			return nil, err
		}
		r, err := m.measureRoles(f, rate)
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
