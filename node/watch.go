package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"encoding/json"

	"go.uber.org/zap"

	"eiderfold/peer"
	"eiderfold/port"
)

const (
	watchWait     = 5 * time.Minute
	watchPause    = 500 * time.Millisecond // While another node watches.
	firstRetry    = 500 * time.Millisecond
	lastRetry     = 15 * time.Second
	servicePeriod = 250 * time.Millisecond // Between looks for new services.
	leastWatchGap = 100 * time.Millisecond // A store that answers watches at once must not be called in a loop.
)

// watching reports whether this node is to watch the platform: the coordinator
// does, and whoever does not hear it. That two watch at a time is harmless.
func (g *Group) watching() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leading() || g.leader.Epoch == 0 || time.Since(g.heard) > takeoverAfter
}

// watch calls look over and over while this node is to watch, with growing
// pauses after failures. look gets the index it returned last.
func (g *Group) watch(ctx context.Context, look func(ctx context.Context, index uint64) (uint64, error)) {
	index, retry := uint64(0), firstRetry
	for ctx.Err() == nil {
		if index != 0 && !g.watching() {
			sleep(ctx, watchPause+rand.N(watchPause))
			continue
		}
		call, cancel := context.WithTimeout(ctx, watchWait+rand.N(watchWait/10))
		next, err := look(call, index)
		cancel()
		if err != nil {
			g.node.platform.Add("failed", 1)
			sleep(ctx, retry/2+rand.N(retry))
			retry = min(retry*2, lastRetry)
			index = 0 // The store may have been restored; ask for everything.
			continue
		}
		g.node.platform.Add("answered", 1)
		index, retry = next, firstRetry
		sleep(ctx, leastWatchGap)
	}
}

// runStoreWatch follows the template's configuration and assignment.
func (g *Group) runStoreWatch(ctx context.Context) {
	g.watch(ctx, func(ctx context.Context, index uint64) (uint64, error) {
		entries, next, err := g.node.store.Watch(ctx, prefixOf(g.template), index)
		if err != nil {
			return 0, err
		}
		g.synced.Store(true)
		g.takeEntries(entries)
		g.complete.Store(true)
		return next, nil
	})
}

func (g *Group) takeEntries(entries []port.Entry) {
	news := map[string][]byte{}
	for _, e := range entries {
		if e.Key == assignment(g.template) {
			g.takeAssignment(e.Value)
			continue
		}
		if g.node.apply(e.Key, e.Value) {
			news[e.Key] = e.Value
		}
	}
	if len(news) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leading() {
		g.spread(&peer.Push{Shards: news})
	}
}

func (g *Group) takeAssignment(text []byte) {
	var l peer.Leader
	if err := json.Unmarshal(text, &l); err != nil {
		g.log.Warn("assignment cannot be read", zap.Error(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.follow(l)
}

// runNodeWatch follows which nodes the platform lists for the template.
func (g *Group) runNodeWatch(ctx context.Context) {
	g.watch(ctx, func(ctx context.Context, index uint64) (uint64, error) {
		found, next, err := g.node.list.Instances(ctx, NodeList(g.template), index)
		if err != nil {
			return 0, err
		}
		nodes := make([]peer.Member, 0, len(found))
		for _, i := range found {
			nodes = append(nodes, peer.Member{Node: i.Name, Address: i.Address, Leaving: i.State == port.Leaving})
		}
		g.changeRoster(func(r *peer.Roster) { r.Nodes = nodes })
		return next, nil
	})
}

// NodeList returns the name of a template's nodes in the platform's list.
func NodeList(template string) string { return "eiderfold-" + template }

// runUpstreamWatch follows the upstreams of every service. Services come and go
// with the template, so each has a watch that ends with it.
func (g *Group) runUpstreamWatch(ctx context.Context) {
	running := map[string]context.CancelFunc{}
	for sleep(ctx, servicePeriod) {
		t := g.node.holder.Now().Template(g.template)
		if t == nil {
			continue
		}
		present := map[string]bool{}
		for _, s := range t.Services() {
			key := s.Name() + "\n" + s.List()
			present[key] = true
			if running[key] == nil {
				watch, cancel := context.WithCancel(ctx)
				running[key] = cancel
				go g.watchUpstreams(watch, s.Name(), s.List())
			}
		}
		for key, cancel := range running {
			if !present[key] {
				cancel()
				delete(running, key)
			}
		}
	}
}

func (g *Group) watchUpstreams(ctx context.Context, service, list string) {
	g.watch(ctx, func(ctx context.Context, index uint64) (uint64, error) {
		found, next, err := g.node.list.Instances(ctx, list, index)
		if err != nil {
			return 0, err
		}
		upstreams := make([]peer.Upstream, 0, len(found))
		for _, i := range found {
			upstreams = append(upstreams, peer.Upstream{
				Name: i.Name, Address: i.Address, DataCentre: i.DataCentre,
				Generation: i.Generation, Leaving: i.State == port.Leaving,
			})
		}
		g.changeRoster(func(r *peer.Roster) {
			next := map[string][]peer.Upstream{}
			for name, u := range r.Upstreams {
				next[name] = u
			}
			next[service] = upstreams
			r.Upstreams = next
		})
		return next, nil
	})
}

// changeRoster changes this node's roster. The coordinator's becomes everybody's;
// another node's own only counts until it hears a coordinator's.
func (g *Group) changeRoster(change func(*peer.Roster)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.roster)
	slices.SortFunc(g.roster.Nodes, func(a, b peer.Member) int { return strings.Compare(a.Node, b.Node) })
	for name, s := range g.services {
		g.populate(name, s)
	}
	if g.leading() {
		g.roster.Version++
		g.roster.Epoch = g.lead.epoch
		roster := g.roster
		g.spread(&peer.Push{Roster: &roster})
		return
	}
	g.roster.Version = 0 // Not the coordinator's: the next one heard replaces it.
}
