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

const handoverTimeout = 3 * time.Second

// stop ends the node by plan, in this order: another node coordinates, callers
// learn to go elsewhere, what is in flight ends, and what is remembered of keyed
// operations goes to another node.
func (n *Node) stop() error {
	n.log.Info("stopping")
	n.stopping.Store(true)
	n.handler.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopDeadline())
	defer cancel()
	for _, g := range n.groups {
		g.resign(ctx)
		g.hurry()
	}
	sleep(ctx, n.settings.Grace())
	_ = n.listener.Close() // Only the server reads its error, and it is stopping.
	n.linger(ctx)
	err := n.callers.Shutdown(ctx)
	if err != nil {
		n.log.Error("requests were cut at the stop's deadline", zap.Error(err), zap.Int("in_flight", n.inFlight()))
		_ = n.callers.Close()
	}
	for _, g := range n.groups {
		g.handOver(ctx)
	}
	_ = n.admin.Close()
	n.end()
	n.running.Wait()
	_ = n.peers.Close()
	n.log.Info("stopped")
	return errors.Wrap(err, "stop")
}

const (
	lingerTime   = 300 * time.Millisecond
	lingerPeriod = 5 * time.Millisecond
)

// linger waits until no request has been worked on for a while. The server's own
// shutdown drops a request that it reads after it began, so it must not begin while
// a connection that was just accepted may still bring one.
func (n *Node) linger(ctx context.Context) {
	quietUntil := time.Now().Add(lingerTime)
	for time.Now().Before(quietUntil) && sleep(ctx, lingerPeriod) {
		if n.working.Load() > 0 {
			quietUntil = time.Now().Add(lingerTime)
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

// resign makes another node the coordinator while this one can still tell it
// everything. Without the store nobody can be named, and the others will notice.
func (g *Group) resign(ctx context.Context) {
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
		next, ok := g.candidate(ctx, m, epoch+1)
		if !ok {
			continue
		}
		entry, current, err := g.readAssignment(ctx)
		next.ChangedAt = current.ChangedAt
		if err != nil || current.Epoch != epoch || !g.swapAssignment(ctx, entry, next) {
			g.log.Warn("could not hand over the coordination")
			return
		}
		g.mu.Lock()
		g.spread(&peer.Push{Leader: &next})
		g.before, g.leader, g.heard = g.leader.Node, next, time.Now()
		g.mu.Unlock()
		return
	}
}

// candidate asks a node for its incarnation, which shows that it is alive too.
func (g *Group) candidate(ctx context.Context, m peer.Member, epoch uint64) (peer.Leader, bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Status: &peer.Status{}})
	if err != nil || reply.Status == nil || reply.Status.Stopping {
		return peer.Leader{}, false
	}
	return peer.Leader{Node: m.Node, Incarnation: reply.Status.Incarnation, Address: m.Address, Epoch: epoch}, true
}

// handOver gives what is remembered of keyed operations to another node, and
// tells the coordinator who has it.
func (g *Group) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	g.mu.Lock()
	entries, coordinator, address := g.ledger.Entries(g.holder(0)), g.leader.Node, g.leaderAddress()
	held := append(g.ledger.Witnessed(), g.claims.Held()...)
	all := append(core.Holdings(entries), held...)
	g.mu.Unlock()
	for _, m := range heirsFirst(g.others(), coordinator) {
		next, ok := g.candidate(ctx, m, 0)
		if !ok {
			continue
		}
		reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Handover: &peer.Handover{Entries: entries, Held: held}})
		if err != nil || !reply.Done {
			continue
		}
		to := core.Holder{Node: next.Node, Incarnation: next.Incarnation}
		reply, err = g.node.call(ctx, address, &peer.Request{Template: g.template, Handover: &peer.Handover{To: to, Held: all}})
		told := err == nil && reply.Done
		g.log.Info("operations handed over", zap.Int("operations", len(entries)), zap.String("to", m.Node), zap.Bool("coordinator_told", told))
		return
	}
	g.log.Warn("nobody took over the memory of operations; their repeats will get 'outcome unknown'", zap.Int("operations", len(entries)))
}

// heirsFirst puts the coordinator last: it has a memory of each operation already,
// and the other one should be somewhere else.
func heirsFirst(nodes []peer.Member, coordinator string) []peer.Member {
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
	c := material.Server()
	c.NextProtos = []string{"h2", "http/1.1"}
	return tls.NewListener(l, c)
}
