package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/peer"
)

const (
	// heartbeatPeriod is the time between heartbeats of a node that suspects no
	// upstream. It allows three tries within a lease. A node that suspects an
	// upstream sends its next heartbeat early.
	heartbeatPeriod  = 800 * time.Millisecond
	heartbeatSpacing = 40 * time.Millisecond // Delay before an early heartbeat.
	heartbeatTimeout = time.Second
	// relayAfter is the time without contact with the coordinator after which a
	// node also fetches configuration from any other node.
	relayAfter = 5 * heartbeatPeriod / 2
)

// runHeartbeats sends heartbeats with this node's evidence to the coordinator and
// applies the replies.
func (g *Group) runHeartbeats(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-g.urgent:
			if !sleep(ctx, heartbeatSpacing) {
				return
			}
		case <-ctx.Done():
			return
		}
		g.sendHeartbeat(ctx)
		timer.Reset(heartbeatPeriod + rand.N(heartbeatPeriod/8))
	}
}

// sendHeartbeat sends a heartbeat to the coordinator and, after relayAfter without
// contact, to another node or a seed.
func (g *Group) sendHeartbeat(ctx context.Context) {
	g.mu.Lock()
	leader, leading := g.leaderAddress(), g.leading()
	sinceContact := time.Since(g.lastContact)
	g.mu.Unlock()
	if leading {
		return
	}
	if leader != "" {
		g.exchange(ctx, leader)
	}
	if leader != "" && sinceContact < relayAfter {
		return
	}
	// Without the coordinator, any other node's configuration and roster are
	// better than none.
	if others := g.others(); len(others) > 0 {
		g.exchange(ctx, others[0].Address)
		return
	}
	if seeds := g.node.settings.Seeds(); len(seeds) > 0 {
		g.exchange(ctx, seeds[rand.IntN(len(seeds))])
	}
}

// exchange sends one heartbeat and applies the reply.
func (g *Group) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := g.node.call(ctx, address, &peer.Request{Template: g.template, Heartbeat: g.heartbeat()})
	if err != nil || reply.Heartbeat == nil {
		g.node.heartbeats.Add("failed", 1)
		return
	}
	g.node.heartbeats.Add("answered", 1)
	g.applyReply(reply.Heartbeat, sentAt)
	if reply.Heartbeat.Sequences != nil {
		g.pushShards(ctx, address, reply.Heartbeat.Sequences)
	}
}

// pushShards pushes the shards that a node lacks or has in older versions, such as
// those published while the coordinator was cut off.
func (g *Group) pushShards(ctx context.Context, address string, theirs map[string]uint64) {
	newer := map[string][]byte{}
	for key, sequence := range g.node.sequences(g.template) {
		if sequence > theirs[key] {
			newer[key] = g.node.holder.Shard(key)
		}
	}
	_, _ = g.node.call(ctx, address, &peer.Request{Template: g.template, Push: &peer.Push{Shards: newer}}) // The next heartbeat shows whether it arrived.
}

// heartbeat builds a heartbeat and drains the pending evidence into it. Evidence in
// a lost heartbeat is not sent again, since it might be counted twice.
func (g *Group) heartbeat() *peer.Heartbeat {
	sequences := g.node.sequences(g.template)
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &peer.Heartbeat{
		LocalUpstream: g.node.settings.LocalUpstream(),
		Load:          g.loadsByIndex(g.load()),
		Digest:        digest(sequences),
		Roster:        g.roster.Version,
		Epoch:         max(g.view.Epoch(), g.operations.Promised()),
	}
	if g.sendSequences {
		h.Sequences = sequences
	}
	for name, s := range g.services {
		if len(s.pending) == 0 {
			continue
		}
		if h.Evidence == nil {
			h.Evidence = map[string][]peer.Tally{}
		}
		for i, u := range g.roster.Upstreams[name] {
			if c, ok := s.pending[u.Name]; ok {
				h.Evidence[name] = append(h.Evidence[name], peer.Tally{Index: uint32(i), Fast: c.Fast, Slow: c.Slow, Failed: c.Failed})
			}
		}
		clear(s.pending)
	}
	h.Leaving = slices.Collect(maps.Keys(g.leaving))
	return h
}

// load returns this node's in-flight requests by upstream.
func (g *Group) load() map[string]uint32 {
	load := map[string]uint32{}
	for _, s := range g.services {
		for name, m := range s.upstreams {
			if n := m.upstream.InFlight(); n > 0 {
				load[name] = uint32(n)
			}
		}
	}
	return load
}

// syncTimeout is how long a starting node waits for the store or a coordinator
// before it accepts configuration from other nodes, which may be out of date.
const syncTimeout = 5 * time.Second

// applyReply applies the reply to a heartbeat that was sent at sentAt.
func (g *Group) applyReply(r *peer.HeartbeatReply, sentAt time.Time) {
	if r.Coordinator {
		g.synced.Store(true)
	}
	if g.synced.Load() || time.Since(g.node.startedAt) > syncTimeout {
		if len(r.Shards) == 0 && !r.WantSequences {
			g.complete.Store(true) // The digests agree.
		}
		for key, value := range r.Shards {
			g.node.apply(key, value)
		}
	}
	if r.Roster != nil {
		g.setRoster(r.Roster)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendSequences = r.WantSequences
	if r.Leader != nil && r.Leader.Epoch > g.leader.Epoch {
		g.adoptLeader(*r.Leader)
	}
	if !r.Coordinator || r.Published == nil {
		return
	}
	changed := g.view.Receive(*r.Published, sentAt)
	if r.Published.Epoch == g.view.Epoch() {
		g.lastContact = time.Now()
	}
	if r.CrashedAgo > 0 {
		if at := time.Now().Add(-time.Duration(r.CrashedAgo)); at.After(g.lastCrash) {
			g.lastCrash = at
		}
	}
	g.setLoads(g.loadsByName(r.Load))
	if changed {
		for name, s := range g.services {
			g.updateBalancer(name, s)
		}
	}
}

// loadsByIndex converts loads by upstream name to loads by index in the roster.
// loadsByName does the reverse.
func (g *Group) loadsByIndex(loads map[string]uint32) map[string][]peer.Load {
	if len(loads) == 0 {
		return nil
	}
	found := map[string][]peer.Load{}
	for service, upstreams := range g.roster.Upstreams {
		for i, u := range upstreams {
			if n := loads[u.Name]; n > 0 {
				found[service] = append(found[service], peer.Load{Index: uint32(i), Count: n})
			}
		}
	}
	return found
}

func (g *Group) loadsByName(loads map[string][]peer.Load) map[string]uint32 {
	found := map[string]uint32{}
	for service, list := range loads {
		upstreams := g.roster.Upstreams[service]
		for _, l := range list {
			if int(l.Index) < len(upstreams) {
				found[upstreams[l.Index].Name] = l.Count
			}
		}
	}
	return found
}

// counts converts the evidence in a heartbeat to counts by upstream name.
func (g *Group) counts(service string, tallies []peer.Tally) []core.Count {
	upstreams := g.roster.Upstreams[service]
	var counts []core.Count
	for _, t := range tallies {
		if int(t.Index) < len(upstreams) {
			counts = append(counts, core.Count{Upstream: upstreams[t.Index].Name, Fast: t.Fast, Slow: t.Slow, Failed: t.Failed})
		}
	}
	return counts
}

func (g *Group) setLoads(total map[string]uint32) {
	for _, s := range g.services {
		for name, m := range s.upstreams {
			m.upstream.SetTotalInFlight(int(total[name]))
		}
	}
}

// adoptLeader applies an assignment if it is newer than the current one. Call it
// with mu held.
func (g *Group) adoptLeader(l peer.Leader) {
	if l.Epoch <= g.leader.Epoch {
		return
	}
	g.log.Info("coordinator", zap.String("node", l.Node), zap.Uint64("epoch", l.Epoch))
	g.previousLeader, g.leader = g.leader.Node, l
	g.lastContact = time.Now() // The new coordinator gets a full election delay.
	self := l.Node == g.node.identity.Node && l.Incarnation == g.node.identity.Incarnation
	if !self {
		g.stepDown()
		return
	}
	g.takeOver()
}

// digest returns a hash of all sequences of a template.
func digest(sequences map[string]uint64) uint64 {
	d := xxhash.New()
	var number [8]byte
	for _, key := range slices.Sorted(maps.Keys(sequences)) {
		_, _ = d.WriteString(key)
		for i := range number {
			number[i] = byte(sequences[key] >> (8 * i))
		}
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}

func hash(a, b string) uint64 { return xxhash.Sum64String(a + "/" + b) }

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
