// Package soak runs a small fleet as real processes on loopback and injects faults
// from outside of them, at random: links are held, delayed, reset or cut one way,
// processes are stopped, killed, paused and started again, the store misbehaves,
// upstreams leave and come back, configurations follow one another. While it runs
// it compares what callers were told with what upstreams ran.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: "eiderfold", Dir: dir, Seed: 7, For: time.Minute, Nodes: 6})
//	for _, v := range report.Violations { ... }
//
// The draws follow from the seed; the interleaving of processes does not.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eiderfold/bench/standin"
)

const (
	// recoverTime is how long the fleet has after the last fault.
	recoverTime = 8 * time.Second
	// recoverProbe is how long callers are counted after that.
	recoverProbe = 2 * time.Second
	// recoveredShare of them must be served.
	recoveredShare = 0.9
	// settleTime is how long the fleet runs before the first fault.
	settleTime = 4 * time.Second
	// callersPerNode is how many connections each node is called on.
	callersPerNode = 2
)

// Options say what to run.
type Options struct {
	Program string // The node's binary.
	Dir     string // For settings and logs.
	Seed    uint64
	For     time.Duration // How long faults are injected.
	Nodes   int
	// Accounts lets callers show keys of client accounts, one of which is far over its limit.
	Accounts bool
	// Uploads lets orders have large bodies, of which some come slowly.
	Uploads bool
	// Operator lets operators evacuate data centres, and the store be restored from a copy.
	Operator bool
	// Ending lets requests come under which upstreams end.
	Ending bool
}

// Report is what a run found.
type Report struct {
	Seed       uint64
	Asked      int64
	Served     int64
	Faults     []string
	Violations []string
}

// soak is one run.
type soak struct {
	options Options
	random  *rand.Rand
	store   *standin.Metadata
	cutter  *standin.Cutter
	address string // Of the store.
	nodes   []*node
	ledger  *ledger
	asked   atomic.Int64
	served  atomic.Int64
	mu      sync.Mutex
	rules   []standin.Rule
	faults  []string
	endings map[string]*ending
	kernel  kernelCounters // As the run began.
	version int
	// evacuations are the data centres that are to get nothing.
	evacuations evacuations
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &soak{options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: standin.NewMetadata(), cutter: standin.NewCutter(), ledger: newLedger(), kernel: readKernelCounters(), evacuations: evacuations{since: map[string]time.Time{}}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.Ending {
		s.endings = newEndings()
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.end()
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i := range o.Nodes * callersPerNode {
		clients.Go(func() { s.call(callers, s.nodes[i%o.Nodes], i) })
	}
	time.Sleep(settleTime)
	for _, e := range s.endings {
		clients.Go(func() { s.sendEnding(callers, e) })
	}
	s.injectFaults(ctx)
	s.heal()
	time.Sleep(recoverTime)
	s.checkRecovery()
	s.checkKeys(ctx)
	stop()
	clients.Wait()
	s.ledger.settle()
	s.ledger.checkLimit()
	return &Report{Seed: o.Seed, Asked: s.asked.Load(), Served: s.served.Load(), Faults: s.faults, Violations: s.ledger.violations()}, nil
}

// start serves the store, publishes a configuration and starts the nodes.
func (s *soak) start(ctx context.Context) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go server.Serve(l) //nolint:errcheck // It ends with the run.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := s.publish(ctx); err != nil {
		return err
	}
	for i := range s.options.Nodes {
		n, err := s.newNode(ctx, i)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

// end kills all nodes.
func (s *soak) end() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// publish writes the next configuration, as the operator.
func (s *soak) publish(ctx context.Context) error {
	s.version++
	return s.store.Directory().Put(ctx, "op/config", configurationText(s.version, s.options.Accounts))
}

// configurationText is the configuration of a version. Every order may have a large body.
func configurationText(version int, withAccounts bool) []byte {
	accounts := ""
	if withAccounts {
		accounts = accountsText(version)
	}
	const rule = `{"name":"%s","routeKind":"%s","priority":1,"targetLatencyMs":1000,"match":{"pathPrefix":"%s"},"action":{"service":"a","timeoutMs":3000,"maxAttempts":2}}`
	return fmt.Appendf(nil, `{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},%s
"listeners":[{"authority":"soak.example","rules":[%s,%s,%s]}],"clusters":[{"name":"a","healthPath":"/health","maxConnections":100}]}`, version, accounts,
		fmt.Sprintf(rule, "look", "idempotent", "/look/"), fmt.Sprintf(rule, "order", "non_idempotent", "/order/"),
		fmt.Sprintf(rule, "version", "idempotent", fmt.Sprintf("/v%d/", version)))
}

// checkRecovery counts what callers get once all faults are over.
func (s *soak) checkRecovery() {
	asked, served := s.asked.Load(), s.served.Load()
	s.ledger.resetEnds()
	time.Sleep(recoverProbe)
	asked, served = s.asked.Load()-asked, s.served.Load()-served
	if float64(served) < recoveredShare*float64(asked) || asked == 0 {
		s.ledger.violate("RECOVER: %d of %d requests served after all faults; ends by node, status, result: %v", served, asked, s.ledger.resetEnds())
	}
}
