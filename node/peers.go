package node

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/peer"
)

// heardLately is how fresh a node's own word of the coordinator must be for it to
// vouch for it to another node.
const heardLately = 5 * heartbeatPeriod / 2

// answer serves a request of another node.
func (n *Node) answer(_ context.Context, r *peer.Request) *peer.Reply {
	if r.Status != nil {
		return &peer.Reply{Status: &peer.StatusReply{
			Sequences:   n.holder.Now().Sequences(),
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
		g.takePush(r.Push)
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
	g.compare(reply, h, sequences)
	if !g.leading() {
		leader := g.leader
		reply.Leader = &leader
		reply.HeardLeader = now.Sub(g.heard) < heardLately && g.leader.Epoch > 0
		reply.Roster = g.newerRoster(h)
		return reply
	}
	if h.Epoch > g.lead.epoch {
		g.stepDown()
		return reply
	}
	reply.Roster = g.newerRoster(h)
	g.meet(from, now)
	if h.Epoch == g.lead.epoch {
		g.lead.confirmed = now
	}
	if reply.Roster == nil { // Places of another roster mean nothing here.
		g.loads[from.Node] = g.names(h.Load)
		g.takeEvidence(from, h, now)
	}
	reply.Load = g.places(g.totalLoad())
	for _, r := range h.Refused {
		g.refuse(r)
	}
	reply.Coordinator = true
	stamped := g.stamped()
	reply.Stamped = &stamped
	if !g.crashed.IsZero() {
		reply.CrashedAgo = int64(now.Sub(g.crashed))
	}
	return reply
}

func (g *Group) takeEvidence(from peer.Identity, h *peer.Heartbeat, now time.Time) {
	for name, tallies := range h.Evidence {
		if s := g.services[name]; s != nil {
			e := core.Evidence{At: now, Reporter: from.Node, Beside: h.Beside, Counts: g.counts(name, tallies)}
			g.carryOut(name, s, s.judge.Update(e))
		}
	}
}

// compare answers with the shards the other node lacks, or asks which it has.
func (g *Group) compare(reply *peer.HeartbeatReply, h *peer.Heartbeat, own map[string]uint64) {
	if h.Digest == digest(own) {
		return
	}
	if h.Sequences == nil && h.Digest != digest(nil) {
		reply.WantFull = true
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
			reply.Sequences = own // The other one is ahead and pushes what we lack.
			break
		}
	}
}

func (g *Group) newerRoster(h *peer.Heartbeat) *peer.Roster {
	if h.Roster == g.roster.Version && h.Epoch == g.roster.Epoch {
		return nil
	}
	roster := g.roster
	return &roster
}

// meet notes that a node is alive, and whether it was restarted without having
// said that it stops. Call it with mu held.
func (g *Group) meet(from peer.Identity, now time.Time) {
	l := g.lead
	l.heard[from.Node] = now
	if before, known := l.runs[from.Node]; known && from.Incarnation > before {
		if !l.stopping[from.Node] {
			g.crashed = now
			g.log.Warn("a node was restarted unplanned", zap.String("node", from.Node))
		}
		delete(l.stopping, from.Node)
	}
	if from.Incarnation >= l.runs[from.Node] {
		l.runs[from.Node] = from.Incarnation
	}
}

// refuse notes an upstream that said itself that it is leaving, by name and
// generation. Call it with mu held.
func (g *Group) refuse(nameAndGeneration string) {
	if g.refused[nameAndGeneration] {
		return
	}
	g.refused[nameAndGeneration] = true
	name, _, _ := strings.Cut(nameAndGeneration, "/")
	g.log.Info("upstream leaving", zap.String("upstream", name))
	next := map[string][]peer.Upstream{}
	for service, upstreams := range g.roster.Upstreams {
		for _, u := range upstreams {
			u.Leaving = u.Leaving || g.refused[u.Name+"/"+u.Generation]
			next[service] = append(next[service], u)
		}
	}
	g.roster.Upstreams = next
	g.roster.Version++
	for service, s := range g.services {
		g.populate(service, s)
	}
	roster := g.roster
	g.spread(&peer.Push{Roster: &roster})
}

func (g *Group) takePush(p *peer.Push) {
	for key, value := range p.Shards {
		g.node.apply(key, value)
	}
	if p.Roster != nil {
		g.setRoster(p.Roster)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Leader != nil {
		g.follow(*p.Leader)
	}
	if p.Stamped != nil && g.view.Told(*p.Stamped, time.Time{}) {
		for name, s := range g.services {
			g.rotate(name, s)
		}
	}
}

func (g *Group) answerCollect(c *peer.Collect) *peer.Collected {
	g.mu.Lock()
	defer g.mu.Unlock()
	ledger := g.ledger.Update(core.Promise{Epoch: c.Epoch})
	if !ledger.Accepted || !g.view.Promise(c.Epoch) {
		return &peer.Collected{}
	}
	reply := &peer.Collected{Promised: true, Held: g.ledger.Held(g.holder(0)), Nodes: g.roster.Nodes, Previous: g.answered}
	reply.Adopted, reply.By = g.ledger.Adopted(), g.holder(0)
	g.answered = c.Epoch
	reply.Age = int64(time.Since(g.node.born))
	if g.leading() && g.lead.epoch < c.Epoch {
		g.stepDown()
	}
	// Also what was known in an earlier term: the coordinator after it may have
	// been lost before it could collect.
	reply.Held = append(reply.Held, g.claims.Held()...)
	reply.Complete = g.deposed.epoch == c.Epoch-1 && g.deposed.complete
	if !g.crashed.IsZero() {
		reply.CrashedAgo = int64(time.Since(g.crashed))
	}
	return reply
}

func (g *Group) answerClaim(from peer.Identity, c *peer.Claim) *core.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leading() || g.addressOf(from.Node) == "" {
		// A node that the platform does not list yet might be unknown to the
		// next coordinator, which could then not ask it what it held.
		return &core.Answer{Verdict: core.Refused}
	}
	claim := core.Claim{At: time.Now(), Key: c.Key, Body: c.Body, Holder: c.Holder, Instead: c.Instead}
	if c.Born != 0 {
		claim.Born = time.UnixMilli(c.Born)
	}
	answer := g.claims.Update(claim)
	return &answer
}

func (g *Group) answerInquire(i *peer.Inquire) *peer.Inquired {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := i.Holder.Node == g.node.identity.Node && i.Holder.Incarnation == g.node.identity.Incarnation
	r := g.ledger.Update(core.Inquire{Key: i.Key, Holder: i.Holder, Own: own})
	return &peer.Inquired{Stage: r.Stage, Answer: r.Answer}
}

func (g *Group) answerWitness(w *peer.Witness) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.Epoch < g.ledger.Promised() {
		return false
	}
	g.ledger.Update(core.Promise{Epoch: w.Epoch})
	g.remember(w.Held)
	return true
}

func (g *Group) answerHandover(from peer.Identity, h *peer.Handover) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.To == (core.Holder{}) {
		g.ledger.Update(core.Adopt{At: time.Now(), Entries: h.Entries})
		g.remember(h.Held)
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

// remember keeps grants for others. Call it with mu held.
func (g *Group) remember(held []core.Held) {
	now := time.Now()
	for _, h := range held {
		g.ledger.Update(core.Witness{At: now, Held: h})
	}
}
