package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"eiderfold/bench/standin"
)

// scope is the set of nodes whose connectivity a fault affects.
type scope uint8

const (
	noNode scope = iota
	oneNode
	allNodes
)

// faultKind is a fault that injectFaults may select.
type faultKind struct {
	inject func(ctx context.Context, n *node) string
	scope  scope
}

// faultKinds returns the faults of a run. A repeated kind is selected more often.
func (s *soak) faultKinds() []faultKind {
	faultKinds := []faultKind{
		{s.stopNode, oneNode}, {s.killNode, oneNode}, {s.pauseNode, oneNode}, {s.holdLinks, oneNode}, {s.cutOneWay, oneNode},
		{s.resetLinks, oneNode}, {s.delayLinks, oneNode}, {s.disruptStore, allNodes}, {s.compactStore, allNodes},
		{s.drainUpstream, noNode}, {s.failUpstream, noNode}, {s.changeConfiguration, noNode}, {s.reloadNode, noNode},
	}
	if s.options.Ending {
		faultKinds = append(faultKinds, faultKind{s.killAll, allNodes})
	}
	if s.options.Limits {
		faultKinds = append(faultKinds, faultKind{s.limitUpstream, noNode}, faultKind{s.limitUpstream, noNode}, faultKind{s.limitUpstream, noNode}, faultKind{s.leaveByAnswers, noNode})
	}
	if s.options.Leaving {
		faultKinds = append(faultKinds, faultKind{s.leave, noNode}, faultKind{s.leave, noNode}, faultKind{s.leave, noNode}, faultKind{s.leave, noNode})
	}
	if s.options.Operator {
		faultKinds = append(faultKinds, faultKind{s.evacuate, noNode}, faultKind{s.evacuate, noNode}, faultKind{s.restoreStore, allNodes})
	}
	return faultKinds
}

// injectFaults starts random faults, which may overlap, and waits until all have ended.
func (s *soak) injectFaults(ctx context.Context) {
	faultKinds := s.faultKinds()
	var running sync.WaitGroup
	for until := time.Now().Add(s.options.For); time.Now().Before(until) && ctx.Err() == nil; {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		k := faultKinds[s.random.IntN(len(faultKinds))]
		pause := time.Duration(200+s.random.IntN(600)) * time.Millisecond
		running.Go(func() {
			defer s.markAffected(k.scope, n)()
			s.recordFault(k.inject(ctx, n))
		})
		time.Sleep(pause)
	}
	running.Wait()
}

// markAffected records a fault at the nodes in its scope until end is called.
func (s *soak) markAffected(affected scope, n *node) (end func()) {
	var ends []func()
	for _, other := range s.nodes {
		if affected == allNodes || affected == oneNode && other == n {
			ends = append(ends, other.connectivity.beginFault())
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (s *soak) recordFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, time.Now().Format("05.000 ")+fault)
}

// randomDuration returns a duration between a fifth of limit and limit.
func (s *soak) randomDuration(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return limit/5 + time.Duration(s.random.Int64N(int64(limit*4/5)))
}

func (s *soak) stopNode(_ context.Context, n *node) string {
	n.restart(syscall.SIGTERM)
	return "SIGTERM " + n.name
}

func (s *soak) killNode(_ context.Context, n *node) string {
	n.restart(syscall.SIGKILL)
	return "SIGKILL " + n.name
}

// killAll kills the processes of all nodes at once, so that all state in memory is lost.
func (s *soak) killAll(context.Context, *node) string {
	var killed sync.WaitGroup
	for _, n := range s.nodes {
		killed.Go(func() { n.restart(syscall.SIGKILL) })
	}
	killed.Wait()
	return "SIGKILL to all"
}

func (s *soak) pauseNode(_ context.Context, n *node) string {
	d := s.randomDuration(3 * time.Second)
	n.pause(d)
	return fmt.Sprintf("paused %s for %v", n.name, d)
}

func (s *soak) reloadNode(_ context.Context, n *node) string {
	n.signal(syscall.SIGHUP)
	return "SIGHUP " + n.name
}

func (s *soak) holdLinks(_ context.Context, n *node) string {
	s.applyRule(standin.Rule{To: n.name, DropOutbound: true, DropInbound: true, Hold: true}, s.randomDuration(4*time.Second))
	return "held links to " + n.name
}

// cutOneWay holds what n receives over the links that it dialled, until the rule ends.
func (s *soak) cutOneWay(_ context.Context, n *node) string {
	s.applyRule(standin.Rule{From: n.ip, DropInbound: true, Hold: true}, s.randomDuration(4*time.Second))
	return "cut links one way from " + n.name
}

func (s *soak) resetLinks(_ context.Context, n *node) string {
	s.applyRule(standin.Rule{To: n.name, Reset: true}, s.randomDuration(time.Second))
	return "reset links to " + n.name
}

func (s *soak) delayLinks(_ context.Context, n *node) string {
	s.applyRule(standin.Rule{To: n.name, Delay: 80 * time.Millisecond}, s.randomDuration(4*time.Second))
	return "delayed links to " + n.name
}

// applyRule applies a rule to the links for d.
func (s *soak) applyRule(r standin.Rule, d time.Duration) {
	s.mu.Lock()
	s.rules = append(s.rules, r)
	s.faultProxy.SetRules(append([]standin.Rule(nil), s.rules...))
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.rules {
		if other == r {
			s.rules = append(s.rules[:i:i], s.rules[i+1:]...)
			break
		}
	}
	s.faultProxy.SetRules(append([]standin.Rule(nil), s.rules...))
}

func (s *soak) disruptStore(_ context.Context, n *node) string {
	d := s.randomDuration(4 * time.Second)
	s.mu.Lock()
	faults := []standin.MetadataFaults{{Busy: true}, {Unresponsive: true}, {LoseWrites: true}, {DropChanges: true}, {Delay: 300 * time.Millisecond}, {RateLimited: []string{n.ip}}}
	f := faults[s.random.IntN(len(faults))]
	s.mu.Unlock()
	s.store.SetFaults(f)
	time.Sleep(d)
	s.store.SetFaults(standin.MetadataFaults{})
	return fmt.Sprintf("store %+v for %v", f, d)
}

func (s *soak) compactStore(context.Context, *node) string {
	s.store.Directory().Compact()
	return "compacted the history of the store"
}

func (s *soak) drainUpstream(ctx context.Context, n *node) string {
	n.upstream.drain(ctx)
	return "upstream of " + n.name + " drained and restarted"
}

func (s *soak) failUpstream(_ context.Context, n *node) string {
	n.upstream.failing.Store(true)
	time.Sleep(s.randomDuration(3 * time.Second))
	n.upstream.failing.Store(false)
	return "upstream of " + n.name + " reset its requests"
}

func (s *soak) changeConfiguration(ctx context.Context, _ *node) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.publish(ctx); err != nil {
		return "configuration not published: " + err.Error()
	}
	return fmt.Sprintf("configuration %d", s.version)
}

// clearFaults removes all faults of links and of the store.
func (s *soak) clearFaults() {
	s.mu.Lock()
	s.rules = nil
	s.faultProxy.SetRules(nil)
	s.mu.Unlock()
	s.store.SetFaults(standin.MetadataFaults{})
}
