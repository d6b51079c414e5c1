package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/peer"
)

// pastTerm describes this node's last term as coordinator: its epoch, and whether the
// node had a record of every grant when it ended. The successor collects it.
type pastTerm struct {
	epoch    uint64
	complete bool
}

// takeOver starts this node's term as coordinator. Call it with mu held.
//
// It grants and ejects nothing before every other node has promised to ignore earlier
// epochs. A predecessor that was paused or cut off is therefore harmless, even if it
// still acts as coordinator.
func (g *Group) takeOver() {
	epoch := g.leader.Epoch
	ctx, cancel := context.WithCancel(g.node.lifetime)
	now := time.Now()
	g.lead = &leadership{
		epoch:         epoch,
		startedAt:     now,
		sets:          map[string][]core.EjectionState{},
		lastHeartbeat: map[string]time.Time{},
		incarnations:  map[string]uint64{},
		stopping:      map[string]bool{},
		confirmedAt:   now,
		cancel:        cancel,
	}
	g.view.Promise(epoch)
	g.operations.Update(core.Promise{Epoch: epoch})
	var from []string
	for _, m := range g.roster.Nodes {
		if m.Node != g.node.identity.Node {
			from = append(from, m.Node)
		}
	}
	replicate := len(from) > 0 && g.operations.Len()+len(g.operations.Witnessed()) > 0
	if replicate {
		from = append(from, ownGrantsReplica)
	}
	uncertainUntil := g.uncertainUntil
	if at := g.lastCrash; !at.IsZero() && at.Add(g.window).After(uncertainUntil) {
		uncertainUntil = at.Add(g.window)
	}
	if epoch > 1 && len(from) == 0 {
		uncertainUntil = now.Add(g.window) // No other node could have a record of grants.
	}
	g.claims.Update(core.TakeOver{At: now, Epoch: epoch, From: from, LostUntil: uncertainUntil})
	own := g.operations.Held(g.holder(0))
	for _, from := range g.operations.Adopted() {
		g.claims.Update(core.Moved{From: from, To: g.holder(0)})
	}
	g.claims.Update(core.Collected{At: now, Node: g.node.identity.Node, Held: own})
	if replicate {
		go g.replicateOwn(ctx, epoch, own)
	}
	g.roster.Epoch = epoch
	g.roster.Version++
	for _, n := range from {
		if n != ownGrantsReplica {
			go g.collect(ctx, epoch, n)
		}
	}
}

// ownGrantsReplica is a placeholder among the nodes to collect from. The new
// coordinator removes it when another node has recorded the operations that this node
// holds. Until then both records of them, the holder's and the coordinator's, would be
// on this node. The value stands where the claim table expects names of nodes; no node
// has it, since names contain no spaces.
const ownGrantsReplica = "second memory"

// replicateOwn retries until another node has recorded this node's own operations.
func (g *Group) replicateOwn(ctx context.Context, epoch uint64, own []core.Held) {
	for ctx.Err() == nil {
		if others := g.others(); len(others) == 0 || g.replicate(ctx, others, own, epoch) {
			g.mu.Lock()
			if g.leading() && g.lead.epoch == epoch {
				g.claims.Update(core.Collected{At: time.Now(), Node: ownGrantsReplica})
			}
			g.mu.Unlock()
			return
		}
		sleep(ctx, collectRetryDelay)
	}
}

// collect asks a node for its promise and the grants it has recorded, until it answers
// or the platform no longer lists it.
func (g *Group) collect(ctx context.Context, epoch uint64, node string) {
	for {
		g.mu.Lock()
		address, previous := g.addressOf(node), node == g.previousLeader
		done := !g.leading() || g.lead.epoch != epoch
		if address == "" && !done {
			g.handleRemovedNode(node, previous)
			done = true
		}
		g.mu.Unlock()
		if done || ctx.Err() != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
		reply, err := g.node.call(callCtx, address, &peer.Request{Template: g.template, Collect: &peer.Collect{Epoch: epoch}})
		cancel()
		if err == nil && reply.Collect != nil {
			g.handleCollected(epoch, node, reply.Collect)
			return
		}
		if !sleep(ctx, collectRetryDelay) {
			return
		}
	}
}

// handleRemovedNode handles a node that the platform no longer lists. If it was the
// previous coordinator, nothing is lost: the holders have records of its grants too.
// Of what another node held, only the previous coordinator had a second record.
func (g *Group) handleRemovedNode(node string, previous bool) {
	now := time.Now()
	if previous {
		g.claims.Update(core.Collected{At: now, Node: node})
		return
	}
	g.claims.Update(core.NodeGone{At: now, Node: node})
}

// handleCollected applies a node's answer to a Collect request.
func (g *Group) handleCollected(epoch uint64, node string, c *peer.CollectReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leading() || g.lead.epoch != epoch {
		return
	}
	if !c.Promised {
		g.log.Warn("a node has promised a later epoch", zap.String("node", node))
		g.stepDown()
		return
	}
	now := time.Now()
	uncertainUntil := time.Time{}
	if c.CrashedAgo > 0 {
		uncertainUntil = now.Add(g.window - time.Duration(c.CrashedAgo))
	}
	started := now.Add(-time.Duration(c.Age))
	if epoch > 1 && c.Previous != epoch-1 && node != g.previousLeader && started.After(g.lead.startedAt.Add(-restartReportDelay)) {
		// The process started under the previous coordinator and may have replaced
		// another process without that coordinator having reported it.
		uncertainUntil = now.Add(g.window)
	}
	for _, from := range c.Adopted {
		g.claims.Update(core.Moved{From: from, To: c.Adopter})
	}
	g.claims.Update(core.Collected{At: now, Node: node, Held: c.Held, LostUntil: uncertainUntil, Complete: c.Complete})
	g.lead.confirmedAt = now
}
