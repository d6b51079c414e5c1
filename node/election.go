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

// assignmentKey returns the store key of a template's assignment.
func assignmentKey(template string) string { return config.TemplatePrefix(template) + assignmentName }

// runElections starts a campaign when there has been no contact with a
// coordinator for electionDelay.
func (g *Group) runElections(ctx context.Context) {
	for sleep(ctx, electionPeriod+rand.N(electionPeriod/4)) {
		g.mu.Lock()
		due := !g.leading() && time.Since(g.lastContact) > g.electionDelay()
		g.mu.Unlock()
		if due {
			g.campaign(ctx)
		}
	}
}

// electionDelay returns how long this node waits without contact with a
// coordinator before it campaigns. Call it with mu held.
func (g *Group) electionDelay() time.Duration {
	rank := time.Duration(g.rank(g.node.identity.Node))
	if g.leader.Epoch == 0 {
		return firstElectionDelay * (rank + 1)
	}
	return electionTimeout + electionRankDelay*rank
}

// campaign makes this node the coordinator unless the store names a newer one or
// another node is in contact with a coordinator. If two nodes campaign, the
// store's compare-and-swap lets one of them win.
func (g *Group) campaign(ctx context.Context) {
	if !g.node.listed(g.template) || g.node.stopping.Load() {
		return
	}
	entry, current, err := g.readAssignment(ctx)
	if err != nil {
		g.resetElectionTimer()
		return
	}
	g.mu.Lock()
	known := g.leader
	if current.Epoch > known.Epoch {
		g.adoptLeader(current)
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	if g.leaderSeenByOthers(ctx) {
		g.resetElectionTimer()
		return
	}
	next := g.node.asLeader(current.Epoch + 1)
	if current.Epoch > 0 {
		next.ChangedAt = time.Now().UnixMilli()
	}
	g.mu.Lock()
	g.uncertainUntil = g.uncertaintyEnd(current.ChangedAt)
	g.mu.Unlock()
	if g.swapAssignment(ctx, entry, next) {
		g.mu.Lock()
		g.adoptLeader(next)
		g.mu.Unlock()
		return
	}
	g.resetElectionTimer()
}

// resetElectionTimer delays this node's next campaign, which gives the coordinator
// or another candidate time to respond.
func (g *Group) resetElectionTimer() {
	g.mu.Lock()
	g.lastContact = time.Now()
	g.mu.Unlock()
}

func (g *Group) readAssignment(ctx context.Context) (port.Entry, peer.Leader, error) {
	entry, err := g.node.store.Get(ctx, assignmentKey(g.template))
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

// swapAssignment writes an assignment and reports whether it is in the store. If
// the result of the write is unknown, it reads the assignment back: the value
// contains the node and its incarnation, so it identifies its writer.
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

// leaderSeenByOthers asks up to two other nodes whether they are the coordinator or
// in contact with it. If one is, the fault is in this node's own link, and replacing
// the coordinator would only disrupt the group.
func (g *Group) leaderSeenByOthers(ctx context.Context) bool {
	others := g.others()
	for _, m := range others[:min(len(others), 2)] {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Heartbeat: g.heartbeat()})
		cancel()
		if err == nil && reply.Heartbeat != nil && (reply.Heartbeat.LeaderReachable || reply.Heartbeat.Coordinator) {
			return true
		}
	}
	return false
}

// uncertaintyEnd returns until when grants may be missing because two coordinators
// in a row were lost: the one in the current assignment and the one before it.
// changedAt is when the coordinator last changed without a handover, in Unix
// milliseconds, or 0 for never.
func (g *Group) uncertaintyEnd(changedAt int64) time.Time {
	if changedAt == 0 {
		return time.Time{}
	}
	return time.UnixMilli(changedAt).Add(g.window + clockSkew)
}
