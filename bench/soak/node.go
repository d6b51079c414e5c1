package soak

import (
	"context"
	"fmt"
	"net"
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
	// stopGrace is how long after SIGTERM a node may run.
	stopGrace = 4 * time.Second
	// superviseEvery is how soon a process that ended by itself is started again.
	superviseEvery = 100 * time.Millisecond
	// dataCentres is over how many of them the nodes are spread, in turn.
	dataCentres = 2
	// listeners is how many addresses a node listens on: callers, links, reports, ready.
	listeners = 4
)

// node is one process, started again whenever it ends.
type node struct {
	name, ip, program, dir, settings, callers string
	dataCentre                                string
	upstream                                  *upstream
	mu                                        sync.Mutex // Held while the process changes.
	process                                   *fleet.Process
	lives                                     atomic.Int64 // How often it was started.
	harmed                                    atomic.Int64 // UnixNano of the last kill or pause.
	stops                                     stops
	contact                                   contact
}

// newNode starts an upstream and the node beside it.
func (s *soak) newNode(ctx context.Context, i int) (*node, error) {
	name := fmt.Sprintf("n%d", i)
	n := &node{name: name, ip: fmt.Sprintf("127.0.%d.%d", 1+s.options.Seed%200, 10+i), program: s.options.Program, dir: s.options.Dir}
	n.dataCentre = dataCentreName(i % dataCentres)
	if err := s.prepare(ctx, n); err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	go n.supervise(ctx)
	return n, nil
}

// prepare starts a node's upstream and writes its settings. The node's addresses are
// free when it returns, and were held until everything else had its own.
func (s *soak) prepare(ctx context.Context, n *node) error {
	free, release, err := freeAddresses(n.ip, listeners)
	if err != nil {
		return err
	}
	defer release()
	links, reports, callers, ready := free[0], free[1], free[2], free[3]
	advertised, err := s.cutter.Open(standin.Link{Name: n.name, Network: "tcp", Listen: n.ip + ":0", Target: links})
	if err != nil {
		return errors.Wrap(err, "cutter")
	}
	if n.upstream, err = startUpstream(ctx, n.ip, reports, s.ledger); err != nil {
		return err
	}
	n.upstream.endings, n.upstream.inTouch = s.endings, n.contact.kept
	n.upstream.evacuated = func() time.Time { return s.evacuations.of(n.dataCentre) }
	n.callers = callers
	n.settings = filepath.Join(s.options.Dir, n.name+".yaml")
	text := fmt.Sprintf("node: %s\ndata_centre: %s\nupstream: {address: %q, service: a}\nlisten: {callers: %q, links: %q, advertise: %q, reports: %q, ready: %q}\nstore: %q\nstop: {grace: %v}\naccount_limits: {window: %v, over: %v, slack: %v}\n",
		n.name, n.dataCentre, n.upstream.address, callers, links, advertised, reports, ready, s.address, stopGrace, limitWindow, limitOver, limitSlack)
	return errors.Wrap(os.WriteFile(n.settings, []byte(text), 0o600), n.name)
}

func dataCentreName(i int) string { return fmt.Sprintf("d%d", i) }

// freeAddresses returns addresses on which nobody listens. They are held until they
// are released: a port that was given back may be given out again at once.
func freeAddresses(ip string, count int) (addresses []string, release func(), err error) {
	var held []net.Listener
	release = func() {
		for _, l := range held {
			_ = l.Close() // It has served its purpose.
		}
	}
	for range count {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			release()
			return nil, nil, errors.Wrap(err, "address")
		}
		held = append(held, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, release, nil
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
		n.stops.begin(time.Now())
		n.process.Stop()
	}
	_ = n.start() // The next restart tries again.
	n.stops.end(time.Now())
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
			n.contact.begin()()
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
