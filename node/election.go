package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"eiderfold/config"
	"eiderfold/peer"
	"eiderfold/port"
)

func assignment(template string) string { return config.TemplatePrefix(template) + assignmentKey }

// runElections looks after there being a coordinator.
func (g *Group) runElections(ctx context.Context) {
	for sleep(ctx, electionPeriod+rand.N(electionPeriod/4)) {
		g.mu.Lock()
		due := !g.leading() && time.Since(g.heard) > g.patience()
		g.mu.Unlock()
		if due {
			g.campaign(ctx)
		}
	}
}

// patience is how long this node waits before it stands in. Call it with mu held.
func (g *Group) patience() time.Duration {
	rank := time.Duration(g.rank(g.node.identity.Node))
	if g.leader.Epoch == 0 {
		return firstRank * (rank + 1)
	}
	return takeoverAfter + takeoverRank*rank
}

// campaign makes this node the coordinator unless somebody else is heard by
// anybody. The store's compare-and-swap decides between two that try.
func (g *Group) campaign(ctx context.Context) {
	if !g.node.listed(g.template) || g.node.stopping.Load() {
		return
	}
	entry, current, err := g.readAssignment(ctx)
	if err != nil {
		g.restart()
		return
	}
	g.mu.Lock()
	known := g.leader
	if current.Epoch > known.Epoch {
		g.follow(current)
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	if g.heardByAnother(ctx) {
		g.restart()
		return
	}
	next := g.node.asLeader(current.Epoch + 1)
	if current.Epoch > 0 {
		next.ChangedAt = time.Now().UnixMilli()
	}
	g.mu.Lock()
	g.lost = g.lostSince(current.ChangedAt)
	g.mu.Unlock()
	if g.swapAssignment(ctx, entry, next) {
		g.mu.Lock()
		g.follow(next)
		g.mu.Unlock()
		return
	}
	g.restart()
}

// restart gives the present coordinator, or another candidate, some time again.
func (g *Group) restart() {
	g.mu.Lock()
	g.heard = time.Now()
	g.mu.Unlock()
}

func (g *Group) readAssignment(ctx context.Context) (port.Entry, peer.Leader, error) {
	entry, err := g.node.store.Get(ctx, assignment(g.template))
	if errors.Is(err, port.ErrMissing) {
		return entry, peer.Leader{}, nil
	}
	if err != nil {
		return entry, peer.Leader{}, err
	}
	var l peer.Leader
	if err := json.Unmarshal(entry.Value, &l); err != nil {
		return entry, peer.Leader{}, errors.Wrap(err, "assignment")
	}
	return entry, l, nil
}

// swapAssignment writes an assignment. A lost answer is settled by reading back:
// the value names the node and its incarnation, so it is its own publish id.
func (g *Group) swapAssignment(ctx context.Context, entry port.Entry, next peer.Leader) bool {
	text, err := json.Marshal(next)
	if err != nil {
		return false
	}
	entry.Value = text
	swapped, err := g.node.store.CompareAndSwap(ctx, entry)
	if errors.Is(err, port.ErrUnknown) {
		_, current, err := g.readAssignment(ctx)
		return err == nil && current == next
	}
	return err == nil && swapped
}

// heardByAnother asks two other nodes whether they hear the coordinator. If they
// do, the fault is in this node's own link, and standing in would only make
// trouble for the rest.
func (g *Group) heardByAnother(ctx context.Context) bool {
	others := g.others()
	for _, m := range others[:min(len(others), 2)] {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Heartbeat: g.heartbeat()})
		cancel()
		if err == nil && reply.Heartbeat != nil && (reply.Heartbeat.HeardLeader || reply.Heartbeat.Coordinator) {
			return true
		}
	}
	return false
}

// lostSince says until when the loss of two coordinators in a row may matter: the
// one before the present assignment, and the one it names.
func (g *Group) lostSince(changedAt int64) time.Time {
	if changedAt == 0 {
		return time.Time{}
	}
	return time.UnixMilli(changedAt).Add(g.window + clockSkew)
}
