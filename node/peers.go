package node

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/peer"
)

// contactTimeout is how recent a node's last contact with the coordinator must be for
// it to count as reachable, for claims and in answers to other nodes.
const contactTimeout = 5 * heartbeatPeriod / 2

// answer handles a request from another node.
func (n *Node) answer(_ context.Context, r *peer.Request) *peer.Reply {
	if r.Status != nil {
		return &peer.Reply{Status: &peer.StatusReply{
			Sequences:   n.holder.Snapshot().Sequences(),
			Incarnation: n.identity.Incarnation,
			Stopping:    n.stopping.Load(),
		}}
	}
	g := n.groups[r.Template]
	if g == nil {
		return &peer.Reply{Error: "this node does not serve template " + r.Template}
	}
	switch {
	case r.Heartbeat != nil:
		return &peer.Reply{Heartbeat: g.answerHeartbeat(r.From, r.Heartbeat)}
	case r.Push != nil:
		g.applyPush(r.Push)
		return &peer.Reply{Done: true}
	case r.Claim != nil:
		return &peer.Reply{Claim: g.answerClaim(r.From, r.Claim)}
	case r.Inquire != nil:
		return &peer.Reply{Inquire: g.answerInquire(r.Inquire)}
	case r.Collect != nil:
		return &peer.Reply{Collect: g.answerCollect(r.Collect)}
	case r.Witness != nil:
		return &peer.Reply{Done: g.answerWitness(r.Witness)}
	case r.Handover != nil:
		return &peer.Reply{Done: g.answerHandover(r.From, r.Handover)}
	}
	return &peer.Reply{Error: "empty request"}
}

func (g *Group) answerHeartbeat(from peer.Identity, h *peer.Heartbeat) *peer.HeartbeatReply {
	sequences := g.node.sequences(g.template)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := &peer.HeartbeatReply{}
	g.compareShards(reply, h, sequences)
	if !g.leading() {
		leader := g.leader
		reply.Leader = &leader
		reply.LeaderReachable = now.Sub(g.lastContact) < contactTimeout && g.leader.Epoch > 0
		reply.Roster = g.newerRoster(h)
		return reply
	}
	if h.Epoch > g.lead.epoch {
		g.stepDown()
		return reply
	}
	reply.Roster = g.newerRoster(h)
	g.recordHeartbeat(from, now)
	if h.Epoch == g.lead.epoch {
		g.lead.confirmedAt = now
	}
	if reply.Roster == nil { // Indexes refer to the sender's roster, which must be the same.
		g.loads[from.Node] = g.loadsByName(h.Load)
		g.applyEvidence(from, h, now)
	}
	reply.Load = g.loadsByIndex(g.totalLoad())
	for _, r := range h.Leaving {
		g.markLeaving(r)
	}
	reply.Coordinator = true
	published := g.published()
	reply.Published = &published
	if !g.lastCrash.IsZero() {
		reply.CrashedAgo = int64(now.Sub(g.lastCrash))
	}
	return reply
}

func (g *Group) applyEvidence(from peer.Identity, h *peer.Heartbeat, now time.Time) {
	for name, tallies := range h.Evidence {
		if s := g.services[name]; s != nil {
			e := core.Evidence{At: now, Reporter: from.Node, LocalUpstream: h.LocalUpstream, Counts: g.counts(name, tallies)}
			g.execute(name, s, s.detector.Update(e))
		}
	}
}

// compareShards adds to reply the shards that the other node lacks, or requests its
// sequences if it sent only a digest and the digests differ.
func (g *Group) compareShards(reply *peer.HeartbeatReply, h *peer.Heartbeat, own map[string]uint64) {
	if h.Digest == digest(own) {
		return
	}
	if h.Sequences == nil && h.Digest != digest(nil) {
		reply.WantSequences = true
		return
	}
	for key, sequence := range own {
		if sequence > h.Sequences[key] {
			if reply.Shards == nil {
				reply.Shards = map[string][]byte{}
			}
			reply.Shards[key] = g.node.holder.Shard(key)
		}
	}
	for key, sequence := range h.Sequences {
		if sequence > own[key] {
			reply.Sequences = own // The other node is ahead and pushes what this one lacks.
			break
		}
	}
}

// newerRoster returns this node's roster, or nil if the sender of h has the same one.
func (g *Group) newerRoster(h *peer.Heartbeat) *peer.Roster {
	if h.Roster == g.roster.Version && h.Epoch == g.roster.Epoch {
		return nil
	}
	roster := g.roster
	return &roster
}

// recordHeartbeat records that a node is alive, and detects a restart without a
// planned stop. Call it with mu held.
func (g *Group) recordHeartbeat(from peer.Identity, now time.Time) {
	l := g.lead
	l.lastHeartbeat[from.Node] = now
	if before, known := l.incarnations[from.Node]; known && from.Incarnation > before {
		if !l.stopping[from.Node] {
			g.lastCrash = now
			g.log.Warn("node restarted without a planned stop", zap.String("node", from.Node))
		}
		delete(l.stopping, from.Node)
	}
	if from.Incarnation >= l.incarnations[from.Node] {
		l.incarnations[from.Node] = from.Incarnation
	}
}

// markLeaving marks an upstream that announced that it is leaving, by name and
// generation, in the roster. Call it with mu held.
func (g *Group) markLeaving(nameAndGeneration string) {
	if g.leaving[nameAndGeneration] {
		return
	}
	g.leaving[nameAndGeneration] = true
	name, _, _ := strings.Cut(nameAndGeneration, "/")
	g.log.Info("upstream leaving", zap.String("upstream", name))
	next := map[string][]peer.Upstream{}
	for service, upstreams := range g.roster.Upstreams {
		for _, u := range upstreams {
			u.Leaving = u.Leaving || g.leaving[u.Name+"/"+u.Generation]
			next[service] = append(next[service], u)
		}
	}
	g.roster.Upstreams = next
	g.roster.Version++
	for service, s := range g.services {
		g.syncUpstreams(service, s)
	}
	roster := g.roster
	g.broadcast(&peer.Push{Roster: &roster})
}

func (g *Group) applyPush(p *peer.Push) {
	for key, value := range p.Shards {
		g.node.apply(key, value)
	}
	if p.Roster != nil {
		g.setRoster(p.Roster)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Leader != nil {
		g.adoptLeader(*p.Leader)
	}
	if p.Published != nil && g.view.Receive(*p.Published, time.Time{}) {
		for name, s := range g.services {
			g.updateBalancer(name, s)
		}
	}
}

func (g *Group) answerCollect(c *peer.Collect) *peer.CollectReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	promise := g.operations.Update(core.Promise{Epoch: c.Epoch})
	if !promise.Accepted || !g.view.Promise(c.Epoch) {
		return &peer.CollectReply{}
	}
	reply := &peer.CollectReply{Promised: true, Held: g.operations.Held(g.holder(0)), Nodes: g.roster.Nodes, Previous: g.collectEpoch}
	reply.Adopted, reply.Adopter = g.operations.Adopted(), g.holder(0)
	g.collectEpoch = c.Epoch
	reply.Age = int64(time.Since(g.node.startedAt))
	if g.leading() && g.lead.epoch < c.Epoch {
		g.stepDown()
	}
	// Include the grants of this node's own earlier term as coordinator: its
	// successor may have been lost before it could collect them.
	reply.Held = append(reply.Held, g.claims.Held()...)
	reply.Complete = g.lastTerm.epoch == c.Epoch-1 && g.lastTerm.complete
	if !g.lastCrash.IsZero() {
		reply.CrashedAgo = int64(time.Since(g.lastCrash))
	}
	return reply
}

func (g *Group) answerClaim(from peer.Identity, c *peer.Claim) *core.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leading() || g.addressOf(from.Node) == "" {
		// A node that the platform does not list yet may be unknown to the next
		// coordinator, which could then not collect its operations.
		return &core.Answer{Verdict: core.Refused}
	}
	claim := core.Claim{At: time.Now(), Key: c.Key, Body: c.Body, Holder: c.Holder, Replaces: c.Replaces}
	if c.KeyCreated != 0 {
		claim.KeyCreated = time.UnixMilli(c.KeyCreated)
	}
	answer := g.claims.Update(claim)
	return &answer
}

func (g *Group) answerInquire(i *peer.Inquire) *peer.InquireReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := i.Holder.Node == g.node.identity.Node && i.Holder.Incarnation == g.node.identity.Incarnation
	r := g.operations.Update(core.Query{Key: i.Key, Holder: i.Holder, Own: own})
	return &peer.InquireReply{Stage: r.Stage, Answer: r.Answer}
}

func (g *Group) answerWitness(w *peer.Witness) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.Epoch < g.operations.Promised() {
		return false
	}
	g.operations.Update(core.Promise{Epoch: w.Epoch})
	g.recordWitnessed(w.Held)
	return true
}

func (g *Group) answerHandover(from peer.Identity, h *peer.Handover) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.To == (core.Holder{}) {
		g.operations.Update(core.Adopt{At: time.Now(), Entries: h.Entries})
		g.recordWitnessed(h.Held)
		return true
	}
	if !g.leading() {
		return false
	}
	g.lead.stopping[from.Node] = true
	g.claims.Update(core.Collected{At: time.Now(), Held: h.Held})
	g.claims.Update(core.Moved{From: core.Holder{Node: from.Node, Incarnation: from.Incarnation}, To: h.To})
	return true
}

// recordWitnessed records grants to other nodes. Call it with mu held.
func (g *Group) recordWitnessed(held []core.Held) {
	now := time.Now()
	for _, h := range held {
		g.operations.Update(core.Witness{At: now, Held: h})
	}
}
