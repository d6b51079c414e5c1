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
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eiderfold/bench/fleet"
	"eiderfold/bench/standin"
)

const (
	// recoverTime is how long the fleet has after the last fault.
	recoverTime = 8 * time.Second
	// recoverProbe is how long callers are counted after that.
	recoverProbe = 2 * time.Second
	// recoveredShare of them must be served.
	recoveredShare = 0.9
	settleTime     = 4 * time.Second
	callersPerNode = 2
	stopGrace      = 4 * time.Second
	// superviseEvery is how soon a process that ended by itself is started again.
	superviseEvery = 100 * time.Millisecond
)

// Options say what to run.
type Options struct {
	Program string // The node's binary.
	Dir     string // For settings and logs.
	Seed    uint64
	For     time.Duration // How long faults are injected.
	Nodes   int
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
	version int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &soak{options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: standin.NewMetadata(), cutter: standin.NewCutter(), ledger: newLedger()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
	s.injectFaults(ctx)
	s.heal()
	time.Sleep(recoverTime)
	s.checkRecovery()
	stop()
	clients.Wait()
	s.ledger.settle()
	return &Report{Seed: o.Seed, Asked: s.asked.Load(), Served: s.served.Load(), Faults: s.faults, Violations: s.ledger.violations()}, nil
}

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

func (s *soak) end() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// publish writes the next configuration, as the operator.
func (s *soak) publish(ctx context.Context) error {
	s.version++
	return s.store.Directory().Put(ctx, "op/config", configurationText(s.version), 0)
}

func configurationText(version int) []byte {
	const rule = `{"name":"%s","routeKind":"%s","priority":1,"targetLatencyMs":1000,"match":{"pathPrefix":"%s"},"action":{"service":"a","timeoutMs":3000,"maxAttempts":2}}`
	return fmt.Appendf(nil, `{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"authority":"soak.example","rules":[%s,%s,%s]}],"clusters":[{"name":"a","healthPath":"/health","maxConnections":100}]}`, version,
		fmt.Sprintf(rule, "look", "idempotent", "/look/"), fmt.Sprintf(rule, "order", "non_idempotent", "/order/"),
		fmt.Sprintf(rule, "version", "idempotent", fmt.Sprintf("/v%d/", version)))
}

// injectFaults draws one fault after the other; they overlap.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := []func(ctx context.Context, n *node) string{
		s.stopNode, s.killNode, s.pauseNode, s.holdLinks, s.cutOneWay, s.resetLinks, s.delayLinks,
		s.troubleStore, s.compactStore, s.leaveUpstream, s.breakUpstream, s.changeConfiguration, s.reloadNode,
	}
	var running sync.WaitGroup
	for until := time.Now().Add(s.options.For); time.Now().Before(until) && ctx.Err() == nil; {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		kind := kinds[s.random.IntN(len(kinds))]
		pause := time.Duration(200+s.random.IntN(600)) * time.Millisecond
		running.Go(func() { s.note(kind(ctx, n)) })
		time.Sleep(pause)
	}
	running.Wait()
}

func (s *soak) note(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, time.Now().Format("05.000 ")+fault)
}

// draw returns a time between a fifth and all of most.
func (s *soak) draw(most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return most/5 + time.Duration(s.random.Int64N(int64(most*4/5)))
}

func (s *soak) stopNode(_ context.Context, n *node) string {
	n.restart(syscall.SIGTERM)
	return "SIGTERM " + n.name
}

func (s *soak) killNode(_ context.Context, n *node) string {
	n.restart(syscall.SIGKILL)
	return "SIGKILL " + n.name
}

func (s *soak) pauseNode(_ context.Context, n *node) string {
	d := s.draw(3 * time.Second)
	n.pause(d)
	return fmt.Sprintf("paused %s for %v", n.name, d)
}

func (s *soak) reloadNode(_ context.Context, n *node) string {
	n.signal(syscall.SIGHUP)
	return "SIGHUP " + n.name
}

func (s *soak) holdLinks(_ context.Context, n *node) string {
	s.bend(standin.Rule{To: n.name, CutOut: true, CutIn: true, Hold: true}, s.draw(4*time.Second))
	return "held links to " + n.name
}

func (s *soak) cutOneWay(_ context.Context, n *node) string {
	s.bend(standin.Rule{From: n.ip, CutIn: true, Hold: true}, s.draw(4*time.Second))
	return "cut links one way from " + n.name
}

func (s *soak) resetLinks(_ context.Context, n *node) string {
	s.bend(standin.Rule{To: n.name, Reset: true}, s.draw(time.Second))
	return "reset links to " + n.name
}

func (s *soak) delayLinks(_ context.Context, n *node) string {
	s.bend(standin.Rule{To: n.name, Delay: 80 * time.Millisecond}, s.draw(4*time.Second))
	return "delayed links to " + n.name
}

// bend adds a rule for a time.
func (s *soak) bend(r standin.Rule, d time.Duration) {
	s.mu.Lock()
	s.rules = append(s.rules, r)
	s.cutter.SetRules(append([]standin.Rule(nil), s.rules...))
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.rules {
		if o == r {
			s.rules = append(s.rules[:i:i], s.rules[i+1:]...)
			break
		}
	}
	s.cutter.SetRules(append([]standin.Rule(nil), s.rules...))
}

func (s *soak) troubleStore(_ context.Context, n *node) string {
	d := s.draw(4 * time.Second)
	s.mu.Lock()
	faults := []standin.MetadataFaults{{Busy: true}, {Silent: true}, {LoseWrites: true}, {Deaf: true}, {Delay: 300 * time.Millisecond}, {Refuse: []string{n.ip}}}
	f := faults[s.random.IntN(len(faults))]
	s.mu.Unlock()
	s.store.SetFaults(f)
	time.Sleep(d)
	s.store.SetFaults(standin.MetadataFaults{})
	return fmt.Sprintf("store %+v for %v", f, d)
}

func (s *soak) compactStore(context.Context, *node) string {
	s.store.Directory().Compact()
	return "history of the store gone"
}

func (s *soak) leaveUpstream(ctx context.Context, n *node) string {
	n.upstream.leave(ctx)
	return "upstream of " + n.name + " left and came back"
}

func (s *soak) breakUpstream(_ context.Context, n *node) string {
	n.upstream.failing.Store(true)
	time.Sleep(s.draw(3 * time.Second))
	n.upstream.failing.Store(false)
	return "upstream of " + n.name + " reset its requests"
}

func (s *soak) changeConfiguration(ctx context.Context, _ *node) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.publish(ctx); err != nil {
		return "no configuration: " + err.Error()
	}
	return fmt.Sprintf("configuration %d", s.version)
}

// heal ends every fault.
func (s *soak) heal() {
	s.mu.Lock()
	s.rules = nil
	s.cutter.SetRules(nil)
	s.mu.Unlock()
	s.store.SetFaults(standin.MetadataFaults{})
}

// checkRecovery counts what callers get once all faults are over.
func (s *soak) checkRecovery() {
	asked, served := s.asked.Load(), s.served.Load()
	time.Sleep(recoverProbe)
	asked, served = s.asked.Load()-asked, s.served.Load()-served
	if float64(served) < recoveredShare*float64(asked) || asked == 0 {
		s.ledger.violate("RECOVER: %d of %d requests served after all faults", served, asked)
	}
}

// newNode starts an upstream and the node beside it.
func (s *soak) newNode(ctx context.Context, i int) (*node, error) {
	name := fmt.Sprintf("n%d", i)
	n := &node{name: name, ip: fmt.Sprintf("127.0.%d.%d", 1+s.options.Seed%200, 10+i), program: s.options.Program, dir: s.options.Dir}
	var links, reports, callers, ready string
	for _, to := range []*string{&links, &reports, &callers, &ready} {
		address, err := freeAddress(n.ip)
		if err != nil {
			return nil, err
		}
		*to = address
	}
	advertised, err := s.cutter.Open(standin.Link{Name: name, Network: "tcp", Listen: n.ip + ":0", Target: links})
	if err != nil {
		return nil, errors.Wrap(err, "cutter")
	}
	if n.upstream, err = startUpstream(ctx, n.ip, reports, s.ledger); err != nil {
		return nil, err
	}
	n.callers = callers
	n.settings = filepath.Join(s.options.Dir, name+".yaml")
	text := fmt.Sprintf("node: %s\ndata_centre: d%d\nupstream: {address: %q, service: a}\nlisten: {callers: %q, links: %q, advertise: %q, reports: %q, ready: %q}\nstore: %q\nstop: {grace: %v}\n",
		name, i%2, n.upstream.address, callers, links, advertised, reports, ready, s.address, stopGrace)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, name)
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	go n.supervise(ctx)
	return n, nil
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", errors.Wrap(err, "address")
	}
	defer l.Close() //nolint:errcheck // It has served its purpose.
	return l.Addr().String(), nil
}

// node is one process, started again whenever it ends.
type node struct {
	name, ip, program, dir, settings, callers string
	upstream                                  *upstream
	mu                                        sync.Mutex // Held while the process changes.
	process                                   *fleet.Process
	lives                                     atomic.Int64 // How often it was started.
	harmed                                    atomic.Int64 // UnixNano of the last kill or pause.
}

func (n *node) start() error {
	p, err := fleet.StartProgram(n.name, n.dir, n.program, "mesh", "--settings", n.settings)
	n.process = p
	n.lives.Add(1)
	return err
}

// restart ends the process with a signal and starts it again.
func (n *node) restart(with syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if with == syscall.SIGKILL {
		n.harmed.Store(time.Now().UnixNano())
		n.process.Kill()
	} else {
		n.process.Stop()
	}
	_ = n.start() // The next restart tries again.
}

func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.harmed.Store(time.Now().UnixNano())
	_ = n.process.Signal(syscall.SIGSTOP) // It may have ended.
	time.Sleep(d)
	_ = n.process.Signal(syscall.SIGCONT)
	n.harmed.Store(time.Now().UnixNano())
}

// supervise starts the process again when it has ended by itself.
func (n *node) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(superviseEvery)
		n.mu.Lock()
		if !n.process.Running() && ctx.Err() == nil {
			n.harmed.Store(time.Now().UnixNano())
			_ = n.start() // The next look tries again.
		}
		n.mu.Unlock()
	}
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(sig) // It may have ended.
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Kill()
	}
}
