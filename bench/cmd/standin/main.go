// Command standin runs one of the stand-ins in its own process.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:8500
//	standin upstream --listen 127.0.0.1:9001 --name certificados-1 --slots 9 --work 20ms
//	standin cutter --listen 127.0.0.1:9900
//
// Each prints "listening ADDRESS" once it is ready.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"eiderfold/bench/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "standin", SilenceUsage: true, SilenceErrors: true}
	listen := c.PersistentFlags().String("listen", "127.0.0.1:0", "IP:port")
	c.AddCommand(
		&cobra.Command{Use: "platform", RunE: func(c *cobra.Command, _ []string) error {
			return serve(c, *listen, standin.NewPlatform())
		}},
		&cobra.Command{Use: "cutter", RunE: func(c *cobra.Command, _ []string) error {
			return serve(c, *listen, standin.NewFaultProxy())
		}},
		upstream(listen),
	)
	return c
}

func upstream(listen *string) *cobra.Command {
	var o standin.UpstreamOptions
	c := &cobra.Command{Use: "upstream"}
	c.Flags().StringVar(&o.Name, "name", "upstream", "name in its answers")
	c.Flags().IntVar(&o.Slots, "slots", 9, "requests it serves concurrently")
	c.Flags().DurationVar(&o.Work, "work", 20*time.Millisecond, "median time of a request")
	c.Flags().Float64Var(&o.Sigma, "sigma", 0.5, "spread of the time's logarithm")
	c.Flags().StringVar(&o.Log, "log", "", "file to append every start to")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of its randomness")
	c.RunE = func(c *cobra.Command, _ []string) error {
		u, err := standin.NewUpstream(o)
		if err != nil {
			return err
		}
		return serve(c, *listen, u)
	}
	return c
}

const drain = 10 * time.Second

// serve runs until the command's context ends, and then waits up to drain for requests in
// flight.
func serve(c *cobra.Command, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: drain}
	context.AfterFunc(c.Context(), func() {
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	fmt.Println("listening", l.Addr())
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}
