// Package soak runs a small fleet as real processes on loopback and injects random
// faults from outside: it holds links in one or both directions, delays or resets them,
// stops, kills, pauses and restarts processes, disrupts the store, drains upstreams and
// publishes configurations. Meanwhile it compares the responses that callers received with
// the requests that upstreams ran.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: "eiderfold", Dir: dir, Seed: 7, For: time.Minute, Nodes: 6})
//	for _, v := range report.Violations { ... }
//
// The seed initializes the random source of the faults. Faults that overlap draw from it in
// the order in which they run, and processes interleave differently, so that runs with the
// same seed differ.
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
	// recoverTime is how long the fleet may take to recover after the last fault.
	recoverTime = 8 * time.Second
	// recoverProbe is how long requests are counted after recoverTime.
	recoverProbe = 2 * time.Second
	// recoveredShare is the minimum share of those requests that must be served.
	recoveredShare = 0.9
	// warmupTime is how long the fleet runs before the first fault.
	warmupTime = 4 * time.Second
	// callersPerNode is the number of concurrent callers of each node.
	callersPerNode = 2
)

// Options configures a run.
type Options struct {
	Program string // Path of the node's binary.
	// Previous is the path of an earlier build's binary, "" for none. Nodes of both builds run
	// side by side and are replaced one after the other: by today's build if the seed is even, by
	// the earlier one if it is odd.
	Previous string
	Dir      string // Folder of settings and logs.
	Seed     uint64
	For      time.Duration // Duration of fault injection.
	Nodes    int
	// Accounts makes callers send keys of client accounts, one of which exceeds its limit by far.
	Accounts bool
	// Uploads makes some orders large and sends their bodies slowly.
	Uploads bool
	// Operator adds evacuations of data centres and restores of the store from a copy.
	Operator bool
	// Ending adds requests that crash (end) the upstreams which run them, and faults that kill
	// all nodes at once.
	Ending bool
	// Limits adds upstreams that name limits in their answers, or that they leave. With an earlier
	// build beside today's, whether that is kept is not checked.
	Limits bool
	// Leaving adds upstreams that report late, deregister first, serve long after their leaving was
	// acknowledged, and whose nodes are paused or restarted right after that.
	Leaving bool
	// Pipelining adds callers that send batches of requests, some with Expect, and read long answers slowly, and
	// upstreams that refuse before they have read the body and send some answers twice.
	Pipelining bool
	// Garbling adds upstreams that answer some requests with what is no answer or does not end, and large uploads
	// that are answered early and cut. Nodes must stay within their memory.
	Garbling bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Asked      int64
	Served     int64
	Faults     []string
	Violations []string
}

// soak is the state of one run.
type soak struct {
	options          Options
	random           *rand.Rand
	store            *standin.Metadata
	faultProxy       *standin.FaultProxy
	block            *addressBlock
	storeAddress     string // Address of the store.
	nodes            []*node
	checker          *checker
	asked            atomic.Int64
	served           atomic.Int64
	mu               sync.Mutex
	rules            []standin.Rule
	faults           []string
	crashingRequests map[string]*crashingRequest
	kernel           kernelCounters // Values at the start of the run.
	version          int
	leaving          *leavingRandom
	garbling         atomic.Bool // Upstreams garble, and callers send large uploads.
	// evacuations holds the data centres under evacuation.
	evacuations evacuations
}

// Run runs the soak for o.Seed and returns the violations found.
func Run(ctx context.Context, o Options) (*Report, error) {
	s, err := newSoak(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer s.close()
	defer cancel()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var clients sync.WaitGroup
	for i := range o.Nodes * callersPerNode {
		clients.Go(func() { s.runCaller(callerCtx, s.nodes[i%o.Nodes], i) })
	}
	if o.Pipelining {
		for i, n := range s.nodes {
			n.upstream.unruly.Store(true)
			clients.Go(func() { s.runPipeliner(callerCtx, n, i) })
		}
	}
	if o.Garbling {
		s.setGarbling(true)
		clients.Go(func() { s.watchMemory(callerCtx) })
	}
	time.Sleep(warmupTime)
	for _, e := range s.crashingRequests {
		clients.Go(func() { s.sendCrashing(callerCtx, e) })
	}
	var builds sync.WaitGroup
	if o.Previous != "" {
		builds.Go(func() { s.replaceBuilds(ctx) })
	}
	s.injectFaults(ctx)
	builds.Wait()
	s.clearFaults()
	s.setGarbling(false)
	time.Sleep(recoverTime)
	s.checkRecovery()
	s.checkKeys(ctx)
	stopCallers()
	clients.Wait()
	s.checker.settle()
	s.checker.checkLimit()
	s.checker.statements.checkLimits(s.checker)
	return &Report{Seed: o.Seed, Asked: s.asked.Load(), Served: s.served.Load(), Faults: s.faults, Violations: s.checker.violations()}, nil
}

// newSoak returns a run that has reserved its addresses and started nothing.
func newSoak(o Options) (*soak, error) {
	block, err := reserveBlock(o.Seed)
	if err != nil {
		return nil, err
	}
	s := &soak{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		block:       block,
		store:       standin.NewMetadata(),
		faultProxy:  standin.NewFaultProxy(),
		checker:     newChecker(o.Previous == ""),
		kernel:      readKernelCounters(),
		evacuations: evacuations{start: map[string]time.Time{}},
		leaving:     newLeavingRandom(o.Seed),
	}
	if o.Ending {
		s.crashingRequests = newCrashingRequests()
	}
	return s, nil
}

// close frees the addresses of the run, and last their block. The context of start must have ended
// before, so that no process that is killed here is started again.
func (s *soak) close() {
	s.killNodes()
	for _, n := range s.nodes {
		n.upstream.close()
	}
	s.faultProxy.Close()
	_ = s.block.Close() // Nothing was accepted on it.
}

// start serves the store, publishes a configuration and starts the nodes.
func (s *soak) start(ctx context.Context) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	s.storeAddress = l.Addr().String()
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go server.Serve(l) //nolint:errcheck // Closed at the end of the run.
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

// killNodes kills the processes of all nodes.
func (s *soak) killNodes() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// publish writes the next version of the configuration to the operators' key.
func (s *soak) publish(ctx context.Context) error {
	s.version++
	return s.store.Directory().Put(ctx, "op/config", configurationText(s.version, s.options))
}

// configurationText returns the configuration of the given version. Its body limit
// admits the large bodies of the run.
func configurationText(version int, o Options) []byte {
	accounts, bodyBytes := "", 64<<10
	if o.Accounts {
		accounts = accountsText(version)
	}
	if o.Garbling {
		bodyBytes = largeUploadBytes
	}
	const rule = `{"name":"%s","routeKind":"%s","priority":1,"targetLatencyMs":1000,"match":{"pathPrefix":"%s"},"action":{"service":"a","timeoutMs":3000,"maxAttempts":2}}`
	return fmt.Appendf(nil, `{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},%s
"listeners":[{"authority":"soak.example","rules":[%s,%s,%s]}],"clusters":[{"name":"a","healthPath":"/health","maxConnections":100}]}`, version, bodyBytes, accounts,
		fmt.Sprintf(rule, "look", "idempotent", "/look/"), fmt.Sprintf(rule, "order", "non_idempotent", "/order/"),
		fmt.Sprintf(rule, "version", "idempotent", fmt.Sprintf("/v%d/", version)))
}

// checkRecovery checks the share of requests served once all faults have ended.
func (s *soak) checkRecovery() {
	asked, served := s.asked.Load(), s.served.Load()
	s.checker.resetOutcomes()
	time.Sleep(recoverProbe)
	asked, served = s.asked.Load()-asked, s.served.Load()-served
	if float64(served) < recoveredShare*float64(asked) || asked == 0 {
		s.checker.violate("RECOVER: %d of %d requests served after all faults; ends by node, status, result: %v", served, asked, s.checker.resetOutcomes())
	}
}
