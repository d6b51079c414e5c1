// Command soak runs the randomized soak for any number of seeds.
//
// # Usage
//
//	soak --seeds 50 --from 1 --for 30s --nodes 6
//	soak --previous 694d83d1 --seeds 50
//
// The second runs nodes of the build of a commit beside today's, and replaces them one after the
// other.
//
// It prints a line for each seed and exits with status 1 if any seed had violations. It
// keeps the nodes' logs of failed seeds, in a folder for each.
package main

import (
	"fmt"
	"os"
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
	accounts := c.Flags().Bool("accounts", false, "callers send keys of client accounts, one of them over its limit")
	ending := c.Flags().Bool("ending", false, "send requests that crash the upstreams which run them")
	operator := c.Flags().Bool("operator", false, "data centres are evacuated, and the store is restored from a copy")
	uploads := c.Flags().Bool("uploads", false, "some orders have large bodies that are sent slowly")
	limits := c.Flags().Bool("limits", false, "upstreams name limits in their answers, or that they leave")
	leaving := c.Flags().Bool("leaving", false, "upstreams report late or deregister first, and their nodes are disturbed right after the acknowledgement")
	pipelining := c.Flags().Bool("pipelining", false, "callers send batches of requests and read slowly, upstreams answer early and twice")
	garbling := c.Flags().Bool("garbling", false, "upstreams send what is no answer, or does not end, and cut answers to large uploads")
	commit := c.Flags().String("previous", "", "a commit: its build runs beside today's, nodes are replaced one after the other")
	c.RunE = func(c *cobra.Command, _ []string) error {
		dir, err := os.MkdirTemp("", "eiderfold-soak")
		if err != nil {
			return errors.Wrap(err, "folder")
		}
		program, err := soak.Build(dir)
		if err != nil {
			return err
		}
		previous := ""
		if *commit != "" {
			if previous, err = soak.BuildCommit(dir, *commit); err != nil {
				return err
			}
		}
		failed := 0
		for seed := *from; seed < *from+*seeds; seed++ {
			violated, err := runSeed(c, soak.Options{Program: program, Previous: previous, Dir: filepath.Join(dir, fmt.Sprint(seed)), Seed: seed, For: *length, Nodes: *nodes, Accounts: *accounts, Ending: *ending, Operator: *operator, Uploads: *uploads, Limits: *limits, Leaving: *leaving, Pipelining: *pipelining, Garbling: *garbling})
			if err != nil {
				return err
			}
			if violated {
				failed++
			}
		}
		if failed > 0 {
			return errors.Errorf("violations in %d of %d seeds; logs are in %s", failed, *seeds, dir)
		}
		return os.RemoveAll(dir)
	}
	return c
}

// runSeed runs one seed, prints the result and reports whether there were violations.
func runSeed(c *cobra.Command, o soak.Options) (violated bool, err error) {
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
