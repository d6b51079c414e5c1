package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"eiderfold/admin"
	"eiderfold/consul"
	"eiderfold/node"
	"eiderfold/settings"
)

// settingsFlags adds --settings and a flag for each overridable field. It returns a
// function that loads the settings.
func settingsFlags(c *cobra.Command) func() (*settings.Settings, error) {
	path := c.Flags().StringP("settings", "s", "", "YAML file with the node's settings")
	values := map[string]*string{}
	for _, field := range settings.Overridable() {
		values[field] = c.Flags().String(field, "", "overrides "+field+" of the file and the environment")
	}
	return func() (*settings.Settings, error) {
		flags := map[string]string{}
		for field, value := range values {
			if c.Flags().Changed(field) {
				flags[field] = *value
			}
		}
		return settings.Load(*path, os.LookupEnv, flags)
	}
}

func checkCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "check",
		Short: "Check settings and keys without starting",
		Args:  cobra.NoArgs,
	}
	load := settingsFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := load()
		if err != nil {
			return err
		}
		if _, err := s.PeerKeys(); err != nil {
			return err
		}
		if _, err := s.CallerTLS(); err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.OutOrStdout(), "settings of", s.Node(), "are good")
		return err
	}
	return c
}

func runCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "run",
		Short:   "Run a node until SIGTERM",
		Example: "  eiderfold run --settings node.yaml\n  EIDERFOLD_NODE=node-7 eiderfold run --settings node.yaml",
		Args:    cobra.NoArgs,
	}
	load := settingsFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := load()
		if err != nil {
			return err
		}
		return run(c, s)
	}
	return c
}

func run(c *cobra.Command, s *settings.Settings) error {
	log, err := logger(s.LogLevel(), s.LogFormat())
	if err != nil {
		return err
	}
	defer log.Sync() //nolint:errcheck // Standard error may not be syncable.
	peers, err := s.PeerKeys()
	if err != nil {
		return err
	}
	callers, err := s.CallerTLS()
	if err != nil {
		return err
	}
	report := func(err error) { log.Error("keys not reloaded; the old ones stay in use", zap.Error(err)) }
	go peers.ReloadUntil(c.Context().Done(), report)
	if callers != nil {
		go callers.ReloadUntil(c.Context().Done(), report)
	}
	client := consul.New(s.PlatformAddress(),
		consul.WithToken(s.PlatformToken()),
		consul.WithRate(s.CallsPerSecond(), int(2*s.CallsPerSecond())+1))
	n, err := node.New(s, peers, node.WithStore(client), node.WithList(client), node.WithLog(log))
	if err != nil {
		return err
	}
	api := admin.New(n, client, s.Teams(), log)
	return n.Run(c.Context(), api.Handler(), callers)
}
