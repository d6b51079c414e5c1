// Command baseline runs a node with one of the baseline ejection policies.
//
// # Usage
//
//	baseline consecutive run --settings node.yaml
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/admin"
	"eiderfold/bench/baseline"
	"eiderfold/consul"
	"eiderfold/core"
	"eiderfold/node"
	"eiderfold/settings"
)

var policies = map[string]func(core.Policy) node.Local{
	"none":        baseline.None,
	"consecutive": baseline.Consecutive,
	"deviation":   baseline.Deviation,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "baseline:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string) error {
	const argumentCount = 4
	if len(arguments) != argumentCount || policies[arguments[0]] == nil {
		return errors.New("usage: baseline none|consecutive|deviation run --settings FILE")
	}
	s, err := settings.Load(arguments[3], os.LookupEnv, nil)
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	material, err := s.PeerKeys()
	if err != nil {
		return err
	}
	platform := consul.New(s.PlatformAddress())
	n, err := node.New(s, material, node.WithStore(platform), node.WithList(platform), node.WithLog(log), node.WithLocal(policies[arguments[0]]))
	if err != nil {
		return err
	}
	return n.Run(ctx, admin.New(n, platform, s.Teams(), log).Handler(), nil)
}
