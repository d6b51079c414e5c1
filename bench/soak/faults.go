package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"eiderfold/bench/standin"
)

// scope says for whom a fault breaks contact.
type scope uint8

const (
	nobody scope = iota
	struck
	everybody
)

// kind is a fault that may be drawn.
type kind struct {
	play  func(ctx context.Context, n *node) string
	scope scope
}

// kinds are the faults of a run.
func (s *soak) kinds() []kind {
	kinds := []kind{
		{s.stopNode, struck}, {s.killNode, struck}, {s.pauseNode, struck}, {s.holdLinks, struck}, {s.cutOneWay, struck},
		{s.resetLinks, struck}, {s.delayLinks, struck}, {s.troubleStore, everybody}, {s.compactStore, everybody},
		{s.leaveUpstream, nobody}, {s.breakUpstream, nobody}, {s.changeConfiguration, nobody}, {s.reloadNode, nobody},
	}
	if s.options.Ending {
		kinds = append(kinds, kind{s.killAll, everybody})
	}
	if s.options.Operator {
		kinds = append(kinds, kind{s.evacuate, nobody}, kind{s.evacuate, nobody}, kind{s.restoreStore, everybody})
	}
	return kinds
}

// injectFaults draws one fault after the other; they overlap.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := s.kinds()
	var running sync.WaitGroup
	for until := time.Now().Add(s.options.For); time.Now().Before(until) && ctx.Err() == nil; {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		k := kinds[s.random.IntN(len(kinds))]
		pause := time.Duration(200+s.random.IntN(600)) * time.Millisecond
		running.Go(func() {
			defer s.strike(k.scope, n)()
			s.note(k.play(ctx, n))
		})
		time.Sleep(pause)
	}
	running.Wait()
}

// strike takes note of who loses contact, until what it returns is called.
func (s *soak) strike(by scope, n *node) (end func()) {
	var ends []func()
	for _, o := range s.nodes {
		if by == everybody || by == struck && o == n {
			ends = append(ends, o.contact.begin())
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
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

// killAll kills the processes of all nodes at one moment: nobody remembers anything.
func (s *soak) killAll(context.Context, *node) string {
	var killed sync.WaitGroup
	for _, n := range s.nodes {
		killed.Go(func() { n.restart(syscall.SIGKILL) })
	}
	killed.Wait()
	return "SIGKILL to all"
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
