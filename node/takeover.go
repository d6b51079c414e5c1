package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/peer"
)

// deposed is what this node last coordinated, and whether it then knew of every
// grant. Its successor asks for that.
type deposed struct {
	epoch    uint64
	complete bool
}

// takeOver starts this node's time as coordinator. Call it with mu held.
//
// Nothing is granted or ejected before every other node has promised to heed no
// earlier epoch. That is what makes a paused or cut-off predecessor harmless,
// whatever it still believes of itself.
func (g *Group) takeOver() {
	epoch := g.leader.Epoch
	ctx, cancel := context.WithCancel(g.node.life)
	now := time.Now()
	g.lead = &leadership{
		epoch:     epoch,
		began:     now,
		sets:      map[string][]core.Standing{},
		heard:     map[string]time.Time{},
		runs:      map[string]uint64{},
		stopping:  map[string]bool{},
		confirmed: now,
		cancel:    cancel,
	}
	g.view.Promise(epoch)
	g.ledger.Update(core.Promise{Epoch: epoch})
	var from []string
	for _, m := range g.roster.Nodes {
		if m.Node != g.node.identity.Node {
			from = append(from, m.Node)
		}
	}
	second := len(from) > 0 && g.ledger.Len()+len(g.ledger.Witnessed()) > 0
	if second {
		from = append(from, secondMemory)
	}
	lost := g.lost
	if at := g.crashed; !at.IsZero() && at.Add(g.window).After(lost) {
		lost = at.Add(g.window)
	}
	if epoch > 1 && len(from) == 0 {
		lost = now.Add(g.window) // Nobody else was there to remember.
	}
	g.claims.Update(core.TakeOver{At: now, Epoch: epoch, From: from, Lost: lost})
	own := g.ledger.Held(g.holder(0))
	for _, from := range g.ledger.Adopted() {
		g.claims.Update(core.Moved{From: from, To: g.holder(0)})
	}
	g.claims.Update(core.Collected{At: now, Node: g.node.identity.Node, Held: own})
	if second {
		go g.secondOwn(ctx, epoch, own)
	}
	g.roster.Epoch = epoch
	g.roster.Version++
	for _, n := range from {
		if n != secondMemory {
			go g.collect(ctx, epoch, n)
		}
	}
}

// secondMemory stands among the nodes that are waited for until what this node
// holds is with another node too: as coordinator it would have both memories of it.
const secondMemory = "second memory"

func (g *Group) secondOwn(ctx context.Context, epoch uint64, own []core.Held) {
	for ctx.Err() == nil {
		if others := g.others(); len(others) == 0 || g.second(ctx, others, own, epoch) {
			g.mu.Lock()
			if g.leading() && g.lead.epoch == epoch {
				g.claims.Update(core.Collected{At: time.Now(), Node: secondMemory})
			}
			g.mu.Unlock()
			return
		}
		sleep(ctx, collectPause)
	}
}

// collect asks a node for its promise and its memory until it answers or the
// platform no longer lists it.
func (g *Group) collect(ctx context.Context, epoch uint64, node string) {
	for {
		g.mu.Lock()
		address, previous := g.addressOf(node), node == g.before
		done := !g.leading() || g.lead.epoch != epoch
		if address == "" && !done {
			g.giveUpOn(node, previous)
			done = true
		}
		g.mu.Unlock()
		if done || ctx.Err() != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, collectTimeout)
		reply, err := g.node.call(call, address, &peer.Request{Template: g.template, Collect: &peer.Collect{Epoch: epoch}})
		cancel()
		if err == nil && reply.Collect != nil {
			g.collected(epoch, node, reply.Collect)
			return
		}
		if !sleep(ctx, collectPause) {
			return
		}
	}
}

// giveUpOn handles a node that is gone. What the last coordinator knew is known
// to the holders too; what another node held, only the last coordinator knew.
func (g *Group) giveUpOn(node string, previous bool) {
	now := time.Now()
	if previous {
		g.claims.Update(core.Collected{At: now, Node: node})
		return
	}
	g.claims.Update(core.NodeGone{At: now, Node: node})
}

func (g *Group) collected(epoch uint64, node string, c *peer.Collected) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leading() || g.lead.epoch != epoch {
		return
	}
	if !c.Promised {
		g.log.Warn("a node knows of a later coordinator", zap.String("node", node))
		g.stepDown()
		return
	}
	now := time.Now()
	lost := time.Time{}
	if c.CrashedAgo > 0 {
		lost = now.Add(g.window - time.Duration(c.CrashedAgo))
	}
	started := now.Add(-time.Duration(c.Age))
	if epoch > 1 && c.Previous != epoch-1 && node != g.before && started.After(g.lead.began.Add(-unnoticed)) {
		// It began under the last coordinator, and may have replaced another
		// process without that coordinator's noticing.
		lost = now.Add(g.window)
	}
	for _, from := range c.Adopted {
		g.claims.Update(core.Moved{From: from, To: c.By})
	}
	g.claims.Update(core.Collected{At: now, Node: node, Held: c.Held, Lost: lost, Complete: c.Complete})
	g.lead.confirmed = now
}
