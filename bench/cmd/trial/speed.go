package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	vegeta "github.com/tsenart/vegeta/v12/lib"

	"eiderfold/bench/fleet"
)

// speed holds the cost of one access path to an upstream.
type speed struct {
	Path        string  `json:"way"`
	Rate        int     `json:"requests_per_s"`
	CPU         float64 `json:"cpu_us_per_request"` // Of the proxy process.
	PerCore     float64 `json:"requests_per_s_per_core"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	RSS         float64 `json:"rss_mb"`
	Failed      int     `json:"failed"`
	CPURatio    float64 `json:"cpu_ratio_to_passthrough,omitempty"`
	AddedP50    float64 `json:"added_p50_ms"`
	AddedP99    float64 `json:"added_p99_ms"`
	CPURatioMin float64 `json:"cpu_ratio_min,omitempty"`
	CPURatioMax float64 `json:"cpu_ratio_max,omitempty"`
}

// accessPath is one way to reach the upstream: directly, or through a proxy.
type accessPath struct {
	name   string
	url    string
	method string
	key    bool // Sends an Idempotency-Key.
	pid    int  // Of the proxy; 0 for none.
}

func speedCommand() *cobra.Command {
	var rate, rounds int
	var length, work time.Duration
	c := &cobra.Command{
		Use:   "speed",
		Short: "Compare a node's cost for a request with the smallest proxy's, side by side",
		Args:  cobra.NoArgs,
	}
	c.Flags().IntVar(&rate, "rate", 3000, "requests a second")
	c.Flags().IntVar(&rounds, "rounds", 7, "rounds over all access paths")
	c.Flags().DurationVar(&length, "length", 4*time.Second, "length of each measurement")
	c.Flags().DurationVar(&work, "work", 2*time.Millisecond, "time of the upstream's work")
	c.RunE = func(c *cobra.Command, _ []string) error {
		results, err := measureSpeed(c.Context(), rate, rounds, length, work)
		if err != nil {
			return err
		}
		for _, r := range results {
			if err := json.NewEncoder(c.OutOrStdout()).Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

func measureSpeed(ctx context.Context, rate, rounds int, length, work time.Duration) ([]speed, error) {
	const slots = 1000
	dir, err := os.MkdirTemp("", "eiderfold-speed")
	if err != nil {
		return nil, errors.Wrap(err, "speed")
	}
	defer os.RemoveAll(dir) //nolint:errcheck // A leftover in the temporary folder is harmless.
	binaries, err := fleet.Build(dir)
	if err != nil {
		return nil, err
	}
	d, err := fleet.Synthetic(dir, fleet.SyntheticSize{Nodes: 1, Upstreams: 1, Slots: slots, Work: work, Accounts: 1})
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(ctx, binaries, d, fleet.Options{Dir: dir})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	proxy, address, err := fleet.StartStandin(ctx, "passthrough", dir, binaries.Passthrough, f.Upstreams[0].Address)
	if err != nil {
		return nil, err
	}
	defer proxy.Kill()
	node := f.Nodes[0]
	paths := []accessPath{
		{"direct", "http://" + f.Upstreams[0].Address + "/get/1", http.MethodGet, false, 0},
		{"passthrough", "http://" + address + "/get/1", http.MethodGet, false, proxy.PID()},
		{"node", "http://" + node.CallerAddress() + "/account-1/get/1", http.MethodGet, false, node.PID()},
		{"node, keyed", "http://" + node.CallerAddress() + "/account-1/post", http.MethodPost, true, node.PID()},
	}
	return comparePaths(paths, rate, rounds, length), nil
}

// comparePaths measures the paths in turn, so that a round's ratios compare measurements
// that are close in time, and returns the medians over the rounds.
func comparePaths(paths []accessPath, rate, rounds int, length time.Duration) []speed {
	all := make([][]speed, len(paths))
	for round := range rounds + 1 {
		for i, p := range paths {
			one := p.measure(rate, length, round*len(paths)+i)
			if round > 0 { // The first round warms up.
				all[i] = append(all[i], one)
			}
		}
	}
	results := make([]speed, len(paths))
	for i, p := range paths {
		r := speed{Path: p.name, Rate: rate}
		r.CPU = medianOf(all[i], func(s speed) float64 { return s.CPU })
		r.P50 = medianOf(all[i], func(s speed) float64 { return s.P50 })
		r.P99 = medianOf(all[i], func(s speed) float64 { return s.P99 })
		r.RSS = medianOf(all[i], func(s speed) float64 { return s.RSS })
		for k, s := range all[i] {
			r.Failed += s.Failed
			all[i][k].AddedP50 = s.P50 - all[0][k].P50
			all[i][k].AddedP99 = s.P99 - all[0][k].P99
			if all[1][k].CPU > 0 {
				all[i][k].CPURatio = s.CPU / all[1][k].CPU
			}
		}
		r.AddedP50 = medianOf(all[i], func(s speed) float64 { return s.AddedP50 })
		r.AddedP99 = medianOf(all[i], func(s speed) float64 { return s.AddedP99 })
		r.CPURatio = medianOf(all[i], func(s speed) float64 { return s.CPURatio })
		ratios := sortedValues(all[i], func(s speed) float64 { return s.CPURatio })
		r.CPURatioMin, r.CPURatioMax = ratios[0], ratios[len(ratios)-1]
		if r.CPU > 0 {
			r.PerCore = float64(time.Second/time.Microsecond) / r.CPU
		}
		results[i] = r
	}
	return results
}

func (p accessPath) measure(rate int, length time.Duration, number int) speed {
	before, _ := fleet.Usage(p.pid)
	n := 0
	target := func(t *vegeta.Target) error {
		n++
		t.Method, t.URL = p.method, p.url
		t.Header = http.Header{"X-Mark": {"m"}}
		if p.key {
			t.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", number, n))
		}
		return nil
	}
	a := vegeta.NewAttacker(vegeta.Timeout(loadTimeout), vegeta.Workers(loadWorkers), vegeta.KeepAlive(true), vegeta.Connections(loadWorkers))
	latencies := newHistogram()
	var s speed
	for r := range a.Attack(target, vegeta.Rate{Freq: rate, Per: time.Second}, length, p.name) {
		if r.Code != http.StatusOK {
			s.Failed++
		}
		_ = latencies.RecordValue(r.Latency.Microseconds()) // loadTimeout is within the range.
	}
	after, rss := fleet.Usage(p.pid)
	s.RSS = rss
	s.CPU = (after - before) / float64(max(n, 1)) * float64(time.Second/time.Microsecond)
	s.P50 = float64(latencies.ValueAtQuantile(50)) / microPerMilli
	s.P99 = float64(latencies.ValueAtQuantile(99)) / microPerMilli
	return s
}

func sortedValues(list []speed, of func(speed) float64) []float64 {
	all := make([]float64, 0, len(list))
	for _, s := range list {
		all = append(all, of(s))
	}
	slices.Sort(all)
	return all
}

func medianOf(list []speed, of func(speed) float64) float64 {
	return quantile(sortedValues(list, of), 0.5)
}
