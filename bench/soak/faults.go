package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"eiderfold/bench/standin"
)

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
