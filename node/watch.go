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
	watchTimeout       = 5 * time.Minute
	inactiveWatchPause = 500 * time.Millisecond // Between checks while another node watches.
	minRetryDelay      = 500 * time.Millisecond
	maxRetryDelay      = 15 * time.Second
	servicePeriod      = 250 * time.Millisecond // Between checks for new services.
	minWatchGap        = 100 * time.Millisecond // Prevents a busy loop if the store answers watches at once.
)

// shouldWatch reports whether this node must watch the platform: the coordinator does,
// and so does a node without contact with it. The others get the same data from the
// coordinator, which saves calls to the platform. Several nodes may watch at a time.
func (g *Group) shouldWatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leading() || g.leader.Epoch == 0 || time.Since(g.lastContact) > electionTimeout
}

// watch calls query repeatedly, with increasing delays after failures. query receives
// the index that it returned last, or 0 at first and after a failure. With index 0 it is
// called in any case, and otherwise only while this node must watch.
func (g *Group) watch(ctx context.Context, query func(ctx context.Context, index uint64) (uint64, error)) {
	index, retry := uint64(0), minRetryDelay
	for ctx.Err() == nil {
		if index != 0 && !g.shouldWatch() {
			sleep(ctx, inactiveWatchPause+rand.N(inactiveWatchPause))
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, watchTimeout+rand.N(watchTimeout/10))
		next, err := query(callCtx, index)
		cancel()
		if err != nil {
			g.node.platform.Add("failed", 1)
			sleep(ctx, retry/2+rand.N(retry))
			retry = min(retry*2, maxRetryDelay)
			index = 0 // The store may have been restored; read everything.
			continue
		}
		g.node.platform.Add("answered", 1)
		index, retry = next, minRetryDelay
		sleep(ctx, minWatchGap)
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
		g.applyEntries(entries)
		g.complete.Store(true)
		return next, nil
	})
}

func (g *Group) applyEntries(entries []port.Entry) {
	changed := map[string][]byte{}
	for _, e := range entries {
		if e.Key == assignmentKey(g.template) {
			g.applyAssignment(e.Value)
			continue
		}
		if g.node.apply(e.Key, e.Value) {
			changed[e.Key] = e.Value
		}
	}
	if len(changed) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leading() {
		g.broadcast(&peer.Push{Shards: changed})
	}
}

func (g *Group) applyAssignment(text []byte) {
	var l peer.Leader
	if err := json.Unmarshal(text, &l); err != nil {
		g.log.Warn("cannot decode assignment", zap.Error(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adoptLeader(l)
}

// runNodeWatch follows the platform's list of the template's nodes.
func (g *Group) runNodeWatch(ctx context.Context) {
	g.watch(ctx, func(ctx context.Context, index uint64) (uint64, error) {
		found, next, err := g.node.list.Instances(ctx, ListName(g.template), index)
		if err != nil {
			return 0, err
		}
		nodes := make([]peer.Member, 0, len(found))
		for _, i := range found {
			nodes = append(nodes, peer.Member{Node: i.Name, Address: i.Address, Leaving: i.State == port.Leaving})
		}
		g.updateRoster(func(r *peer.Roster) { r.Nodes = nodes })
		return next, nil
	})
}

// ListName returns the name under which the platform lists a template's nodes.
func ListName(template string) string { return "eiderfold-" + template }

// runUpstreamWatch follows the upstreams of every service. Each service has its own
// watch, which ends when the template no longer contains the service.
func (g *Group) runUpstreamWatch(ctx context.Context) {
	running := map[string]context.CancelFunc{}
	for sleep(ctx, servicePeriod) {
		t := g.node.holder.Snapshot().Template(g.template)
		if t == nil {
			continue
		}
		present := map[string]bool{}
		for _, s := range t.Services() {
			key := s.Name() + "\n" + s.ListName()
			present[key] = true
			if running[key] == nil {
				watchCtx, cancel := context.WithCancel(ctx)
				running[key] = cancel
				go g.watchUpstreams(watchCtx, s.Name(), s.ListName())
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
		g.updateRoster(func(r *peer.Roster) {
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

// updateRoster changes this node's roster. The coordinator broadcasts its roster; on
// another node the change only lasts until it receives a coordinator's roster.
func (g *Group) updateRoster(change func(*peer.Roster)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.roster)
	slices.SortFunc(g.roster.Nodes, func(a, b peer.Member) int { return strings.Compare(a.Node, b.Node) })
	for name, s := range g.services {
		g.syncUpstreams(name, s)
	}
	if g.leading() {
		g.roster.Version++
		g.roster.Epoch = g.lead.epoch
		roster := g.roster
		g.broadcast(&peer.Push{Roster: &roster})
		return
	}
	g.roster.Version = 0 // Any roster from a coordinator replaces this one.
}
