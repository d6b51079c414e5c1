package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	adminapi "eiderfold/gen/admin"
)

const (
	waitPause    = 100 * time.Millisecond
	standardWait = 10 * time.Second
)

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show what is in force on which node, and who lags",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			states, err := client.Status(c.Context(), &adminapi.StatusPayload{Token: o.bearer()})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), statusTable(states))
		},
	}
}

func statusTable(states []*adminapi.ShardState) table {
	newest := map[string]uint64{}
	for _, s := range states {
		newest[s.Shard] = max(newest[s.Shard], s.Sequence)
	}
	t := table{header: []string{"NODE", "SHARD", "SEQUENCE", "STATE"}, value: states}
	for _, s := range states {
		state := "in force"
		if s.Sequence < newest[s.Shard] {
			state = fmt.Sprintf("lags behind %d", newest[s.Shard])
		}
		if !s.Reachable {
			state = "does not answer"
		}
		t.rows = append(t.rows, []string{s.Node, s.Shard, strconv.FormatUint(s.Sequence, 10), state})
	}
	return t
}

func dumpCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "dump [NODE]",
		Short:   "Print the decision state of a node",
		Long:    "Print the decision state of a node. NODE is the URL of its admin API; without it, --address counts.",
		Example: "  eiderctl dump http://10.0.0.2:8081 -o yaml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			if len(arguments) == 1 {
				o.address = arguments[0]
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			d, err := client.Dump(c.Context(), &adminapi.DumpPayload{Token: o.bearer()})
			if err != nil {
				return err
			}
			if o.output == "table" {
				o.output = "json"
			}
			return o.print(c.OutOrStdout(), table{value: d})
		},
	}
}

// waiting is the flags of commands that can wait for a change to be in force.
type waiting struct {
	on    *bool
	limit *time.Duration
}

func waitFlags(c *cobra.Command) *waiting {
	return &waiting{
		on:    c.Flags().Bool("wait", false, "wait until the change is in force on every live node"),
		limit: c.Flags().Duration("timeout", standardWait, "how long to wait"),
	}
}

// until waits, with a progress line on standard error.
func (w *waiting) until(c *cobra.Command, o *options, client *adminapi.Client, r *adminapi.Revision) error {
	if !*w.on {
		return nil
	}
	deadline := time.Now().Add(*w.limit)
	for {
		states, err := client.Status(c.Context(), &adminapi.StatusPayload{Token: o.bearer()})
		if err != nil {
			return err
		}
		there, all := inForce(states, r)
		if _, err := fmt.Fprintf(c.ErrOrStderr(), "\rin force on %d of %d nodes", there, all); err != nil {
			return err
		}
		if there == all && all > 0 {
			_, err := fmt.Fprintln(c.ErrOrStderr())
			return err
		}
		if time.Now().After(deadline) {
			return &exitError{errors.Errorf("\nsequence %d is accepted, and in force on %d of %d nodes only", r.Sequence, there, all), exitNotInForce}
		}
		select {
		case <-time.After(waitPause):
		case <-c.Context().Done():
			return c.Context().Err()
		}
	}
}

// inForce counts the live nodes that hold a change, and all live nodes.
func inForce(states []*adminapi.ShardState, r *adminapi.Revision) (there, all int) {
	nodes := map[string]bool{}
	for _, s := range states {
		if !s.Reachable {
			continue
		}
		nodes[s.Node] = nodes[s.Node] || s.Shard == r.Shard && s.Sequence >= r.Sequence
	}
	for _, held := range nodes {
		if held {
			there++
		}
	}
	return there, len(nodes)
}
