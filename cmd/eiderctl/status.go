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
	pollInterval       = 100 * time.Millisecond
	defaultWaitTimeout = 10 * time.Second
)

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show which sequences are in force on each node, and which nodes lag",
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
		Long:    "Print the decision state of a node. NODE is the URL of its admin API; without it, --address is used.",
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

// waitOptions holds the flags of commands that can wait until a change is in force.
type waitOptions struct {
	enabled *bool
	timeout *time.Duration
}

func waitFlags(c *cobra.Command) *waitOptions {
	return &waitOptions{
		enabled: c.Flags().Bool("wait", false, "wait until the change is in force on every live node"),
		timeout: c.Flags().Duration("timeout", defaultWaitTimeout, "how long to wait"),
	}
}

// until waits until a change is in force on all live nodes, or fails at the timeout. It
// shows the progress on standard error.
func (w *waitOptions) until(c *cobra.Command, o *options, client *adminapi.Client, r *adminapi.Revision) error {
	if !*w.enabled {
		return nil
	}
	deadline := time.Now().Add(*w.timeout)
	for {
		states, err := client.Status(c.Context(), &adminapi.StatusPayload{Token: o.bearer()})
		if err != nil {
			return err
		}
		applied, all := inForce(states, r)
		if _, err := fmt.Fprintf(c.ErrOrStderr(), "\rin force on %d of %d nodes", applied, all); err != nil {
			return err
		}
		if applied == all && all > 0 {
			_, err := fmt.Fprintln(c.ErrOrStderr())
			return err
		}
		if time.Now().After(deadline) {
			return &exitError{errors.Errorf("\nsequence %d is accepted, and in force on %d of %d nodes only", r.Sequence, applied, all), exitNotInForce}
		}
		select {
		case <-time.After(pollInterval):
		case <-c.Context().Done():
			return c.Context().Err()
		}
	}
}

// inForce returns the number of reachable nodes with a change in force, and the number
// of all reachable nodes.
func inForce(states []*adminapi.ShardState, r *adminapi.Revision) (applied, all int) {
	nodes := map[string]bool{}
	for _, s := range states {
		if !s.Reachable {
			continue
		}
		nodes[s.Node] = nodes[s.Node] || s.Shard == r.Shard && s.Sequence >= r.Sequence
	}
	for _, hasChange := range nodes {
		if hasChange {
			applied++
		}
	}
	return applied, len(nodes)
}
