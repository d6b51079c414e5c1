package soak

import (
	"context"
	"fmt"
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
	// stopGrace is the setting stop.grace: how long a node may run after SIGTERM.
	stopGrace = 4 * time.Second
	// superviseInterval is how often a node's process is checked and restarted if it exited.
	superviseInterval = 100 * time.Millisecond
	// dataCentres is the number of data centres; nodes are assigned round-robin.
	dataCentres = 2
	// listenersPerNode counts the addresses of a node: callers, links, reports and ready, its
	// upstream, and the fault proxy before its links.
	listenersPerNode = 6
)

// node runs one node process and restarts it whenever it exits.
type node struct {
	name, ip, program, dir, settings, callers string
	dataCentre                                string
	upstream                                  *upstream
	mu                                        sync.Mutex // Guards process; held during stops, pauses and restarts.
	process                                   *fleet.Process
	pid                                       atomic.Int64 // Of the latest process.
	starts                                    atomic.Int64 // Number of starts of the process.
	disruptedAt                               atomic.Int64 // Time of the last kill, pause or unexpected exit, in Unix nanoseconds.
	stops                                     stops
	connectivity                              connectivity
	forget                                    func() // Called when its process has started or was resumed.
}

// newNode starts an upstream and the node beside it.
func (s *soak) newNode(ctx context.Context, i int) (*node, error) {
	name := fmt.Sprintf("n%d", i)
	first, _ := s.programs()
	n := &node{name: name, ip: s.block.host(i), program: first, dir: s.options.Dir}
	n.dataCentre = dataCentreName(i % dataCentres)
	n.forget = func() { s.checker.statements.forget(name) }
	if err := s.prepare(ctx, n); err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	go n.supervise(ctx)
	return n, nil
}

// prepare starts a node's upstream and writes the node's settings.
func (s *soak) prepare(ctx context.Context, n *node) error {
	listen := listenAddresses(n.ip)
	links, reports, callers, ready, upstreamAddress, advertise := listen[0], listen[1], listen[2], listen[3], listen[4], listen[5]
	advertised, err := s.faultProxy.Open(standin.Link{Name: n.name, Network: "tcp", Listen: advertise, Target: links})
	if err != nil {
		return errors.Wrap(err, "cutter")
	}
	if n.upstream, err = startUpstream(ctx, upstreamAddress, reports, s.checker, s.lateness); err != nil {
		return err
	}
	n.upstream.crashingRequests, n.upstream.nodeConnected = s.crashingRequests, n.connectivity.connected
	n.upstream.evacuatedSince = func() time.Time { return s.evacuations.since(n.dataCentre) }
	n.callers = callers
	n.settings = filepath.Join(s.options.Dir, n.name+".yaml")
	text := fmt.Sprintf("node: %s\ndata_centre: %s\nupstream: {address: %q, service: a}\nlisten: {callers: %q, links: %q, advertise: %q, reports: %q, ready: %q}\nstore: %q\nstop: {grace: %v}\naccount_limits: {window: %v, over: %v, slack: %v}\n",
		n.name, n.dataCentre, n.upstream.address, callers, links, advertised, reports, ready, s.storeAddress, stopGrace, limitWindow, limitOver, limitSlack)
	if s.options.Garbling {
		text += fmt.Sprintf("memory_mb: %d\n", garblingMemoryMB)
	}
	return errors.Wrap(os.WriteFile(n.settings, []byte(text), 0o600), n.name)
}

func dataCentreName(i int) string { return fmt.Sprintf("d%d", i) }

func (n *node) start() error {
	p, err := fleet.StartProgram(n.name, n.dir, n.program, "mesh", "--settings", n.settings)
	n.process = p
	if err == nil {
		n.pid.Store(int64(p.PID()))
	}
	n.starts.Add(1)
	n.forget()
	return err
}

// restart stops the process with the signal and starts it again.
func (n *node) restart(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sig == syscall.SIGKILL {
		n.disruptedAt.Store(time.Now().UnixNano())
		n.process.Kill()
	} else {
		n.stops.begin(time.Now())
		n.process.Stop()
	}
	_ = n.start() // On an error supervise retries.
	n.stops.end(time.Now())
}

func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disruptedAt.Store(time.Now().UnixNano())
	_ = n.process.Signal(syscall.SIGSTOP) // The process may have exited.
	time.Sleep(d)
	_ = n.process.Signal(syscall.SIGCONT)
	n.forget()
	n.disruptedAt.Store(time.Now().UnixNano())
}

// supervise restarts the process whenever it has exited by itself.
func (n *node) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(superviseInterval)
		n.mu.Lock()
		if !n.process.Running() && ctx.Err() == nil {
			n.disruptedAt.Store(time.Now().UnixNano())
			n.connectivity.beginFault()()
			_ = n.start() // On an error the next iteration retries.
		}
		n.mu.Unlock()
	}
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(sig) // The process may have exited.
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Kill()
	}
}
