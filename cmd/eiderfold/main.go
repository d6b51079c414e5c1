// Command eiderfold runs a node of the proxy fleet.
//
// # Usage
//
//	eiderfold dev                        # a node with sample upstreams, to try it
//	eiderfold run --settings node.yaml   # a node of a fleet, with Consul as its platform
//	eiderfold check --settings node.yaml # checks the settings and keys for run
//	eiderfold mesh --settings node.yaml  # a node beside an upstream on the users' platform
//	eiderfold keys authority --out ca
//	eiderfold keys node --authority ca --name node-1 --address 10.0.0.1 --out node-1
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ctx.Done()
		stop() // A second signal terminates the process immediately.
	}()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "eiderfold:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "eiderfold",
		Short:         "A node of the eiderfold proxy fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(meshCommand(), runCommand(), checkCommand(), devCommand(), keysCommand(), versionCommand())
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), version)
			return err
		},
	}
}
