package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"eiderfold/mesh"
	"eiderfold/platform"
	"eiderfold/settings"
)

// settingsVariable is the environment variable in which the platform sets the path
// of the settings file. The file is parsed as YAML whatever its name.
const settingsVariable = "EIDERFOLD_BOOT"

func meshCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "mesh",
		Short:   "Run the node beside an upstream on the users' platform, until SIGTERM",
		Example: "  " + settingsVariable + "=/etc/eiderfold/boot.toml eiderfold mesh\n  eiderfold mesh --settings node.yaml --check",
		Args:    cobra.NoArgs,
	}
	path := c.Flags().StringP("settings", "s", os.Getenv(settingsVariable), "YAML file with the node's settings")
	check := c.Flags().Bool("check", false, "check the settings and exit")
	c.RunE = func(c *cobra.Command, _ []string) error {
		reloads := make(chan os.Signal, 1)
		signal.Notify(reloads, syscall.SIGHUP) // First of all: an unhandled SIGHUP terminates the process.
		s, err := settings.LoadMesh(*path)
		if err != nil {
			return err
		}
		if *check {
			c.Println("settings of", s.Node(), "are good")
			return nil
		}
		return runMesh(c, *path, s, reloads)
	}
	return c
}

func runMesh(c *cobra.Command, path string, s *settings.Mesh, reloads <-chan os.Signal) error {
	tuneGC(s.ProcessMemory())
	metrics := mesh.NewMetrics()
	log, flush, err := meshLogger(s.LogLevel(), metrics)
	if err != nil {
		return err
	}
	defer flush()
	store := platform.NewStore(s.Store(), func(call string) { metrics.Count("store_calls_" + call) })
	log = log.With(zap.String("process_name", s.Node()))
	n := mesh.New(s, platform.New(store), metrics, log)
	go watchSettings(c.Context(), path, reloads, n, log)
	return n.Run(c.Context())
}
