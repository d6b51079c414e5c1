// Command soak runs the randomized soak for any number of seeds.
//
// # Usage
//
//	soak --seeds 50 --from 1 --for 30s --nodes 6
//
// It prints a line for each seed and ends with 1 if a promise was broken. Logs of
// the nodes stay in a folder for each seed that failed.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"eiderfold/bench/soak"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "soak", Short: "Inject faults into a fleet of real processes", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true}
	seeds := c.Flags().Uint64("seeds", 5, "how many seeds")
	from := c.Flags().Uint64("from", 1, "the first seed")
	length := c.Flags().Duration("for", 20*time.Second, "how long faults are injected")
	nodes := c.Flags().Int("nodes", 6, "how many nodes")
	accounts := c.Flags().Bool("accounts", false, "callers show keys of client accounts, one of them over its limit")
	ending := c.Flags().Bool("ending", false, "requests come under which upstreams end")
	operator := c.Flags().Bool("operator", false, "data centres are evacuated, and the store is restored from a copy")
	uploads := c.Flags().Bool("uploads", false, "orders have large bodies, of which some come slowly")
	c.RunE = func(c *cobra.Command, _ []string) error {
		dir, err := os.MkdirTemp("", "eiderfold-soak")
		if err != nil {
			return errors.Wrap(err, "folder")
		}
		program := filepath.Join(dir, "eiderfold")
		if output, err := exec.Command("go", "build", "-o", program, "eiderfold/cmd/eiderfold").CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build: %s", output)
		}
		failed := 0
		for seed := *from; seed < *from+*seeds; seed++ {
			bad, err := play(c, soak.Options{Program: program, Dir: filepath.Join(dir, fmt.Sprint(seed)), Seed: seed, For: *length, Nodes: *nodes, Accounts: *accounts, Ending: *ending, Operator: *operator, Uploads: *uploads})
			if err != nil {
				return err
			}
			if bad {
				failed++
			}
		}
		if failed > 0 {
			return errors.Errorf("%d of %d seeds broke a promise; logs are in %s", failed, *seeds, dir)
		}
		return os.RemoveAll(dir)
	}
	return c
}

// play runs one seed and prints what it found.
func play(c *cobra.Command, o soak.Options) (bad bool, err error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return false, errors.Wrap(err, "folder")
	}
	r, err := soak.Run(c.Context(), o)
	if err != nil {
		return false, err
	}
	c.Printf("seed %d: %d asked, %d served, %d faults, %d violations\n", r.Seed, r.Asked, r.Served, len(r.Faults), len(r.Violations))
	for _, v := range r.Violations {
		c.Println("  ", v)
	}
	if len(r.Violations) == 0 {
		return false, errors.Wrap(os.RemoveAll(o.Dir), "folder")
	}
	for _, f := range r.Faults {
		c.Println("   fault", f)
	}
	return true, nil
}
