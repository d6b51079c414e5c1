package node

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/keys"
	"eiderfold/peer"
)

const (
	handoverTimeout = 3 * time.Second
	// adminTimeout is how long operators' requests that are being handled may take to end.
	adminTimeout = 2 * time.Second
)

// stop performs a planned stop, in this order: transfer the coordinator role, let
// callers switch to other nodes, finish in-flight requests, and hand over the
// operation table to another node.
func (n *Node) stop() error {
	n.log.Info("stopping")
	n.stopping.Store(true)
	n.handler.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopDeadline())
	defer cancel()
	for _, g := range n.groups {
		g.transferLeadership(ctx)
		g.requestHeartbeat()
	}
	sleep(ctx, n.settings.Grace())
	_ = n.callersListener.Close() // Only the server reads its error, and it is stopping.
	n.awaitIdle(ctx)
	err := n.callers.Shutdown(ctx)
	if err != nil {
		n.log.Error("requests cut off at the stop deadline", zap.Error(err), zap.Int("in_flight", n.inFlight()))
		_ = n.callers.Close()
	}
	for _, g := range n.groups {
		g.handOver(ctx)
	}
	_ = n.adminListener.Close() // Before the server, which would keep the accepting goroutine waiting.
	n.stopAdmin(ctx)
	n.cancel()
	n.loops.Wait()
	_ = n.peers.Close()
	n.log.Info("stopped")
	return errors.Wrap(err, "stop")
}

// stopAdmin ends the admin API. Operators' requests that are being handled are answered.
func (n *Node) stopAdmin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if err := n.admin.Shutdown(ctx); err != nil {
		n.log.Error("operators' requests cut off", zap.Error(err))
		_ = n.admin.Close()
	}
}

const (
	idleTime       = 300 * time.Millisecond
	idlePollPeriod = 5 * time.Millisecond
)

// awaitIdle waits until no request has been active for idleTime. http.Server.Shutdown
// drops requests that it reads after it began, so it must not begin while a newly
// accepted connection may still send one.
func (n *Node) awaitIdle(ctx context.Context) {
	idleUntil := time.Now().Add(idleTime)
	for time.Now().Before(idleUntil) && sleep(ctx, idlePollPeriod) {
		if n.activeRequests.Load() > 0 {
			idleUntil = time.Now().Add(idleTime)
		}
	}
}

func (n *Node) inFlight() int {
	sum := 0
	for _, g := range n.groups {
		g.mu.Lock()
		for _, load := range g.load() {
			sum += int(load)
		}
		g.mu.Unlock()
	}
	return sum
}

// transferLeadership makes another node the coordinator while this one can still
// pass its grants on. If the store is unavailable, no successor can be assigned, and
// the other nodes campaign later.
func (g *Group) transferLeadership(ctx context.Context) {
	g.mu.Lock()
	leading, epoch := g.leading(), g.leader.Epoch
	g.mu.Unlock()
	if !leading {
		return
	}
	for _, m := range g.others() {
		if m.Leaving {
			continue
		}
		next, ok := g.queryCandidate(ctx, m, epoch+1)
		if !ok {
			continue
		}
		entry, current, err := g.readAssignment(ctx)
		next.ChangedAt = current.ChangedAt
		if err != nil || current.Epoch != epoch || !g.swapAssignment(ctx, entry, next) {
			g.log.Warn("could not transfer the coordinator role")
			return
		}
		g.mu.Lock()
		g.broadcast(&peer.Push{Leader: &next})
		g.previousLeader, g.leader, g.lastContact = g.leader.Node, next, time.Now()
		g.mu.Unlock()
		return
	}
}

// queryCandidate asks a node for its incarnation, which also shows that it is alive.
// It returns false for a node that does not answer or is stopping.
func (g *Group) queryCandidate(ctx context.Context, m peer.Member, epoch uint64) (peer.Leader, bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Status: &peer.Status{}})
	if err != nil || reply.Status == nil || reply.Status.Stopping {
		return peer.Leader{}, false
	}
	return peer.Leader{Node: m.Node, Incarnation: reply.Status.Incarnation, Address: m.Address, Epoch: epoch}, true
}

// handOver sends the operation table to another node, and notifies the coordinator
// which node has it.
func (g *Group) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	g.mu.Lock()
	entries, coordinator, address := g.operations.Entries(g.holder(0)), g.leader.Node, g.leaderAddress()
	held := append(g.operations.Witnessed(), g.claims.Held()...)
	all := append(core.Holdings(entries), held...)
	g.mu.Unlock()
	for _, m := range coordinatorLast(g.others(), coordinator) {
		next, ok := g.queryCandidate(ctx, m, 0)
		if !ok {
			continue
		}
		reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Handover: &peer.Handover{Entries: entries, Held: held}})
		if err != nil || !reply.Done {
			continue
		}
		to := core.Holder{Node: next.Node, Incarnation: next.Incarnation}
		reply, err = g.node.call(ctx, address, &peer.Request{Template: g.template, Handover: &peer.Handover{To: to, Held: all}})
		notified := err == nil && reply.Done
		g.log.Info("operations handed over", zap.Int("operations", len(entries)), zap.String("to", m.Node), zap.Bool("coordinator_told", notified))
		return
	}
	g.log.Warn("no node took over the operation table; retries of its operations will get 'outcome unknown'", zap.Int("operations", len(entries)))
}

// coordinatorLast moves the coordinator to the end: it already has a record of each
// operation, and the second record should be on another node.
func coordinatorLast(nodes []peer.Member, coordinator string) []peer.Member {
	slices.SortStableFunc(nodes, func(a, b peer.Member) int {
		switch {
		case a.Node == coordinator && b.Node != coordinator:
			return 1
		case b.Node == coordinator && a.Node != coordinator:
			return -1
		}
		return 0
	})
	return nodes
}

func tlsListener(l net.Listener, material *keys.Material) net.Listener {
	c := material.ServerTLS()
	c.NextProtos = []string{"h2", "http/1.1"}
	return tls.NewListener(l, c)
}
