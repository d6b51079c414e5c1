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
	// heartbeatPeriod is how often a node that suspects nobody is heard. It leaves
	// three tries in a lease. A node that suspects somebody does not wait for it.
	heartbeatPeriod  = 800 * time.Millisecond
	heartbeatSpacing = 40 * time.Millisecond // Between urgent ones.
	heartbeatTimeout = time.Second
	// relayAfter is how long the coordinator may be unheard before configuration
	// is fetched from any other node.
	relayAfter = 5 * heartbeatPeriod / 2
)

// runHeartbeats tells the coordinator what this node sees and takes its word.
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
		g.beat(ctx)
		timer.Reset(heartbeatPeriod + rand.N(heartbeatPeriod/8))
	}
}

func (g *Group) beat(ctx context.Context) {
	g.mu.Lock()
	leader, leading := g.leaderAddress(), g.leading()
	unheard := time.Since(g.heard)
	g.mu.Unlock()
	if leading {
		return
	}
	if leader != "" {
		g.exchange(ctx, leader)
	}
	if leader != "" && unheard < relayAfter {
		return
	}
	// Nobody to hear it from directly: any other node's configuration and
	// roster are better than none.
	if others := g.others(); len(others) > 0 {
		g.exchange(ctx, others[0].Address)
		return
	}
	if seeds := g.node.settings.Seeds(); len(seeds) > 0 {
		g.exchange(ctx, seeds[rand.IntN(len(seeds))])
	}
}

// exchange sends one heartbeat and takes the reply.
func (g *Group) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := g.node.call(ctx, address, &peer.Request{Template: g.template, Heartbeat: g.heartbeat()})
	if err != nil || reply.Heartbeat == nil {
		g.node.heartbeats.Add("failed", 1)
		return
	}
	g.node.heartbeats.Add("answered", 1)
	g.take(reply.Heartbeat, asked)
	if reply.Heartbeat.Sequences != nil {
		g.giveShards(ctx, address, reply.Heartbeat.Sequences)
	}
}

// giveShards pushes to a node what it lacks, such as a coordinator that was cut off
// when a change came.
func (g *Group) giveShards(ctx context.Context, address string, theirs map[string]uint64) {
	news := map[string][]byte{}
	for key, sequence := range g.node.sequences(g.template) {
		if sequence > theirs[key] {
			news[key] = g.node.holder.Shard(key)
		}
	}
	_, _ = g.node.call(ctx, address, &peer.Request{Template: g.template, Push: &peer.Push{Shards: news}}) // The next heartbeat shows whether it came.
}

// heartbeat drains the pending evidence. Should the heartbeat get lost, so is the
// evidence: told twice, it would count twice.
func (g *Group) heartbeat() *peer.Heartbeat {
	sequences := g.node.sequences(g.template)
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &peer.Heartbeat{
		Beside: g.node.settings.Beside(),
		Load:   g.places(g.load()),
		Digest: digest(sequences),
		Roster: g.roster.Version,
		Epoch:  max(g.view.Epoch(), g.ledger.Promised()),
	}
	if g.wantFull {
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
				h.Evidence[name] = append(h.Evidence[name], peer.Tally{Place: uint32(i), Fast: c.Fast, Slow: c.Slow, Failed: c.Failed})
			}
		}
		clear(s.pending)
	}
	h.Refused = slices.Collect(maps.Keys(g.refused))
	return h
}

// load lists what this node has in flight.
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

// soloStart is how long a starting node waits for the store or a coordinator
// before it takes the configuration of a node that may itself be behind.
const soloStart = 5 * time.Second

func (g *Group) take(r *peer.HeartbeatReply, asked time.Time) {
	if r.Coordinator {
		g.synced.Store(true)
	}
	if g.synced.Load() || time.Since(g.node.born) > soloStart {
		if len(r.Shards) == 0 && !r.WantFull {
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
	g.wantFull = r.WantFull
	if r.Leader != nil && r.Leader.Epoch > g.leader.Epoch {
		g.follow(*r.Leader)
	}
	if !r.Coordinator || r.Stamped == nil {
		return
	}
	news := g.view.Told(*r.Stamped, asked)
	if r.Stamped.Epoch == g.view.Epoch() {
		g.heard = time.Now()
	}
	if r.CrashedAgo > 0 {
		if at := time.Now().Add(-time.Duration(r.CrashedAgo)); at.After(g.crashed) {
			g.crashed = at
		}
	}
	g.setLoads(g.names(r.Load))
	if news {
		for name, s := range g.services {
			g.rotate(name, s)
		}
	}
}

// places names loads by the upstreams' places in the roster; names does the reverse.
func (g *Group) places(loads map[string]uint32) map[string][]peer.Load {
	if len(loads) == 0 {
		return nil
	}
	found := map[string][]peer.Load{}
	for service, upstreams := range g.roster.Upstreams {
		for i, u := range upstreams {
			if n := loads[u.Name]; n > 0 {
				found[service] = append(found[service], peer.Load{Place: uint32(i), Count: n})
			}
		}
	}
	return found
}

func (g *Group) names(loads map[string][]peer.Load) map[string]uint32 {
	found := map[string]uint32{}
	for service, list := range loads {
		upstreams := g.roster.Upstreams[service]
		for _, l := range list {
			if int(l.Place) < len(upstreams) {
				found[upstreams[l.Place].Name] = l.Count
			}
		}
	}
	return found
}

// counts turns the evidence of a heartbeat into counts by name.
func (g *Group) counts(service string, tallies []peer.Tally) []core.Count {
	upstreams := g.roster.Upstreams[service]
	var counts []core.Count
	for _, t := range tallies {
		if int(t.Place) < len(upstreams) {
			counts = append(counts, core.Count{Upstream: upstreams[t.Place].Name, Fast: t.Fast, Slow: t.Slow, Failed: t.Failed})
		}
	}
	return counts
}

func (g *Group) setLoads(total map[string]uint32) {
	for _, s := range g.services {
		for name, m := range s.upstreams {
			m.upstream.SetOthers(int(total[name]))
		}
	}
}

// follow takes a newer assignment. Call it with mu held.
func (g *Group) follow(l peer.Leader) {
	if l.Epoch <= g.leader.Epoch {
		return
	}
	g.log.Info("coordinator", zap.String("node", l.Node), zap.Uint64("epoch", l.Epoch))
	g.before, g.leader = g.leader.Node, l
	g.heard = time.Now() // It gets as long to be heard as the last one had.
	mine := l.Node == g.node.identity.Node && l.Incarnation == g.node.identity.Incarnation
	if !mine {
		g.stepDown()
		return
	}
	g.takeOver()
}

// digest is one number for all sequences of a template.
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

func mix(a, b string) uint64 { return xxhash.Sum64String(a + "/" + b) }

// sleep waits and reports whether ctx is still alive.
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
