// Command trial runs a deployment as real processes through a scenario, once for each
// policy and seed, and prints the measurements.
//
// # Usage
//
//	go run ./bench/cmd/trial -deployment montevideo -scenario bench/scenarios/fails-real-work.yaml -seeds 5 -json
//	go run ./bench/cmd/trial -deployment tartu -policy ours,consecutive
//	go run ./bench/cmd/trial capacity
//
// Run it in the workspace root. Without -scenario it runs all scenarios.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"eiderfold/bench/fleet"
)

const (
	benchDir    = "bench"
	ours        = "ours"
	allPolicies = "ours,none,consecutive,deviation"
	maxFleets   = 2 // Fleets that run concurrently, by default.
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := root()
	c.SetArgs(longFlags(os.Args[1:]))
	if err := c.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(1)
	}
}

// longFlags rewrites -name to --name.
func longFlags(arguments []string) []string {
	for i, a := range arguments {
		if strings.HasPrefix(a, "-") && !strings.HasPrefix(a, "--") && len(a) > 2 {
			arguments[i] = "-" + a
		}
	}
	return arguments
}

type options struct {
	deployment string
	scenario   string
	policies   string
	seeds      int
	asJSON     bool
	keep       string
	parallel   int
}

func root() *cobra.Command {
	o := &options{}
	c := &cobra.Command{Use: "trial", SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&o.deployment, "deployment", "montevideo", "montevideo or tartu")
	f.StringVar(&o.scenario, "scenario", "", "scenario file; all of them if empty")
	f.StringVar(&o.policies, "policy", allPolicies, "comma-separated policies")
	f.IntVar(&o.seeds, "seeds", 1, "how many seeds")
	f.BoolVar(&o.asJSON, "json", false, "one JSON object a line, instead of a table")
	f.StringVar(&o.keep, "keep", "", "folder to keep the logs in")
	f.IntVar(&o.parallel, "parallel", maxFleets, "fleets at a time")
	c.RunE = func(c *cobra.Command, _ []string) error { return o.run(c) }
	c.AddCommand(capacityCommand(), speedCommand(), sensitivityCommand())
	return c
}

func (o *options) run(c *cobra.Command) error {
	d, err := fleet.ReadDeployment(filepath.Join(benchDir, "deployments", o.deployment+".yaml"))
	if err != nil {
		return err
	}
	files := []string{o.scenario}
	if o.scenario == "" {
		if files, err = filepath.Glob(filepath.Join(benchDir, "scenarios", "*.yaml")); err != nil {
			return errors.Wrap(err, "scenarios")
		}
	}
	dir, err := os.MkdirTemp("", "eiderfold-trial")
	if err != nil {
		return errors.Wrap(err, "trial")
	}
	defer os.RemoveAll(dir) //nolint:errcheck // A leftover in the temporary folder is harmless.
	binaries, err := fleet.Build(dir)
	if err != nil {
		return err
	}
	if o.keep != "" {
		dir = o.keep
	}
	for _, file := range files {
		s, err := readScenario(file)
		if err != nil {
			return err
		}
		if err := o.compare(c, binaries, d, s, dir); err != nil {
			return err
		}
	}
	return nil
}

// compare runs a scenario with each policy and seed, and prints a report for each policy.
func (o *options) compare(c *cobra.Command, b fleet.Binaries, d *fleet.Deployment, s *scenario, dir string) error {
	policies := strings.Split(o.policies, ",")
	reports := make([]*report, len(policies))
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan int, o.parallel)
	for i := range o.parallel {
		slots <- i
	}
	var failed error
	for i, p := range policies {
		reports[i] = newReport(d, s, p)
		for seed := 1; seed <= o.seeds; seed++ {
			running.Go(func() {
				slot := <-slots
				defer func() { slots <- slot }()
				one, err := runOnce(c.Context(), b, d, s, p, seed, slot, dir)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = err
					return
				}
				reports[i].add(one)
			})
		}
	}
	running.Wait()
	if failed != nil {
		return failed
	}
	for _, r := range reports {
		r.finish()
		if err := o.print(c, r); err != nil {
			return err
		}
	}
	return nil
}

func (o *options) print(c *cobra.Command, r *report) error {
	w := c.OutOrStdout()
	if o.asJSON {
		return errors.Wrap(json.NewEncoder(w).Encode(r), "print")
	}
	_, err := fmt.Fprintf(w, "%-11s %-22s %-12s detection ms p50 %6.0f p99 %6.0f of %d  false %3d lost %5.1fs  floor %d  doubled %d untrue %d wrong %d  answered %.4f  p99 ms %.0f/%.0f  work %.2f  %v\n",
		r.Deployment, r.Scenario, r.Policy, r.DetectionP50, r.DetectionP99, r.Detections, r.FalseEjections, r.HealthySecondsLost, r.FloorBreaches,
		r.DuplicateRuns, r.NotRunButRan, r.WrongOrTruncated, r.Answered, r.HealthyP99, r.FaultP99, r.WorkRatio, r.Results)
	return errors.Wrap(err, "print")
}
