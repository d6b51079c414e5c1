// Command passthrough runs the minimal proxy that nodes are compared with.
//
// # Usage
//
//	passthrough 127.0.0.1:9001
//
// It prints "listening ADDRESS" once it is ready.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"

	"eiderfold/bench/passthrough"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "passthrough:", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	if len(arguments) != 1 {
		return fmt.Errorf("usage: passthrough ADDRESS")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	return http.Serve(l, passthrough.New(arguments[0])) //nolint:gosec // A benchmark on loopback needs no timeouts.
}
