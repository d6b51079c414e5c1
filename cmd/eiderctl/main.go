// Command eiderctl is the operators' command line: a client of the admin API of
// any node.
//
// # Usage
//
//	export EIDERCTL_ADDRESS=http://10.0.0.1:8081 EIDERCTL_TOKEN=...
//	eiderctl validate montevideo.yaml
//	eiderctl template publish montevideo.yaml --wait
//	eiderctl account set montevideo oficina-07 office=7
//	eiderctl status
//
// Exit codes: 0 done, 1 other errors, 2 wrong usage, 3 document refused,
// 4 conflict, 5 forbidden, 6 missing, 7 store unavailable, or its answer lost so that the
// change may have been made, 8 accepted but not in force before the timeout.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	adminapi "eiderfold/gen/admin"
	"eiderfold/result"
)

// Exit codes of eiderctl.
const (
	exitOther       = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitForbidden   = 5
	exitMissing     = 6
	exitUnavailable = 7 // Also for result.ChangeUnknown and any code without an exit code of its own.
	exitNotInForce  = 8
)

// exitError is an error with the exit code of the process.
type exitError struct {
	error
	code int
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "eiderctl:", describe(err))
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var f *adminapi.Fault
	if !errors.As(err, &f) {
		return exitOther
	}
	switch result.Code(f.Code) {
	case result.Invalid:
		return exitInvalid
	case result.Conflict:
		return exitConflict
	case result.Forbidden:
		return exitForbidden
	case result.Missing:
		return exitMissing
	default:
		return exitUnavailable
	}
}

// describe returns the text of an error. For a conflict it includes a diff of the two
// sides.
func describe(err error) string {
	var f *adminapi.Fault
	if !errors.As(err, &f) {
		return err.Error()
	}
	text := fmt.Sprintf("%s (%d): %s", f.Name, f.Code, f.Message)
	if f.Ours != nil && f.Theirs != nil {
		text += "\n" + difference("in force", *f.Theirs, "yours", *f.Ours)
	}
	return text
}

func root() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:           "eiderctl",
		Short:         "Publish templates and client accounts, and show what is in force",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := c.PersistentFlags()
	flags.StringVar(&o.address, "address", envOr("EIDERCTL_ADDRESS", "http://127.0.0.1:8081"), "URL of any node's admin API (EIDERCTL_ADDRESS)")
	flags.StringVar(&o.token, "token", os.Getenv("EIDERCTL_TOKEN"), "your team's token (EIDERCTL_TOKEN)")
	flags.StringVar(&o.authority, "authority", os.Getenv("EIDERCTL_AUTHORITY"), "PEM file of the authority that signed the nodes' certificates")
	flags.StringVarP(&o.output, "output", "o", "table", "table, json or yaml")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exitError{err, exitUsage} })
	c.AddCommand(explainCommand(), lossesCommand(), templateCommand(o), accountCommand(o), validateCommand(), statusCommand(o), dumpCommand(o))
	return c
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}
