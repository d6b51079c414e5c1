package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/peer"
)

const (
	electionPeriod     = 300 * time.Millisecond
	electionTimeout    = 3 * time.Second
	electionRankDelay  = 700 * time.Millisecond // Added for each node of lower rank.
	firstElectionDelay = 150 * time.Millisecond // Delay per rank while the group has never had a coordinator.
	collectTimeout     = 3 * time.Second
	collectRetryDelay  = 500 * time.Millisecond
	assignmentName     = "assignment"
	loadExpiry         = 4 * time.Second // A node's load is dropped this long after its last heartbeat.
	clockSkew          = time.Minute
	// restartReportDelay bounds how long before a change of coordinator a node may
	// have restarted without the previous coordinator having reported it.
	restartReportDelay = 15 * time.Second
)

// leadership is the state that only the coordinator has.
type leadership struct {
	epoch         uint64
	startedAt     time.Time
	sequence      uint64
	sets          map[string][]core.EjectionState // Published ejection states, by service.
	promisedAt    time.Time                       // When the last node promised the epoch, or decisions were last suspended; zero before.
	deciding      bool                            // The outlier detectors may eject.
	confirmedAt   time.Time                       // When another node last showed that it has promised no later epoch.
	lastHeartbeat map[string]time.Time            // By node.
	incarnations  map[string]uint64               // By node.
	stopping      map[string]bool                 // Nodes that announced a planned stop.
	cancel        context.CancelFunc
}

// advanceLeader does the periodic work of the coordinator: it starts or suspends
// decisions, renews its own lease and sums the loads. Call it with mu held.
func (g *Group) advanceLeader(now time.Time) {
	l := g.lead
	alone := len(g.roster.Nodes) <= 1
	if alone {
		l.confirmedAt = now
	}
	if l.promisedAt.IsZero() && g.claims.Waiting() == 0 {
		l.promisedAt = now
	}
	settled := l.epoch == 1 || now.After(l.promisedAt.Add(core.Settle))
	confirmed := now.Before(l.confirmedAt.Add(core.Lease))
	if !l.deciding && !l.promisedAt.IsZero() && settled && confirmed && g.node.newLocal == nil {
		l.deciding = true
		for _, s := range g.services {
			s.detector.Update(core.StartDeciding{At: now})
		}
		g.log.Info("deciding", zap.Uint64("epoch", l.epoch))
	}
	if l.deciding && !confirmed {
		g.suspend("no other node confirms")
	}
	if confirmed {
		g.view.Receive(g.published(), l.confirmedAt)
		g.lastContact = now
	}
	g.updateLoads(now)
}

// suspend stops the outlier detectors. advanceLeader starts them again when this
// coordinator is confirmed and, except in epoch 1, core.Settle has passed.
func (g *Group) suspend(reason string) {
	g.log.Warn("not deciding", zap.String("reason", reason))
	g.lead.deciding = false
	g.lead.promisedAt = time.Now() // Leases of earlier decisions expire within core.Settle from now.
	g.lead.sets = map[string][]core.EjectionState{}
	for _, s := range g.services {
		s.detector.Update(core.StopDeciding{At: time.Now()})
	}
}

// handlePause handles a pause of this process, during which another node may have
// become the coordinator. Call it with mu held.
func (g *Group) handlePause(gap time.Duration) {
	g.log.Warn("process was paused", zap.Duration("gap", gap))
	if g.leading() {
		g.lead.confirmedAt = time.Time{}
		if g.lead.deciding {
			g.suspend("process was paused")
		}
		go g.reconfirm(g.lead.epoch)
	}
}

// reconfirm asks another node whether it has promised a later epoch. One answer is
// enough: a successor decides nothing before all nodes have promised its epoch.
func (g *Group) reconfirm(epoch uint64) {
	for _, m := range g.others() {
		ctx, cancel := context.WithTimeout(g.node.lifetime, collectTimeout)
		reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Collect: &peer.Collect{Epoch: epoch}})
		cancel()
		if err != nil || reply.Collect == nil {
			continue
		}
		g.mu.Lock()
		if g.leading() && g.lead.epoch == epoch {
			if reply.Collect.Promised {
				g.lead.confirmedAt = time.Now()
			} else {
				g.stepDown()
			}
		}
		g.mu.Unlock()
		return
	}
}

// stepDown ends this node's term as coordinator. Call it with mu held.
func (g *Group) stepDown() {
	if !g.leading() {
		return
	}
	g.lastTerm = pastTerm{epoch: g.lead.epoch, complete: g.claims.Complete(time.Now())}
	g.lead.cancel()
	g.lead = nil
	g.claims.Update(core.StopDeciding{At: time.Now()})
	for _, s := range g.services {
		s.detector.Update(core.StopDeciding{At: time.Now()})
	}
	g.log.Info("no longer coordinator")
}

// publish replaces the decisions on a service's upstreams and broadcasts them.
func (g *Group) publish(service string, set []core.EjectionState) {
	if !g.leading() {
		return
	}
	l := g.lead
	if slices.Equal(l.sets[service], set) {
		return
	}
	l.sets = maps.Clone(l.sets) // The old map may still be being encoded for other nodes.
	l.sets[service] = set
	l.sequence++
	published := g.published()
	g.view.Receive(published, time.Time{})
	g.broadcast(&peer.Push{Published: &published})
}

func (g *Group) published() core.PublishedStates {
	return core.PublishedStates{Epoch: g.lead.epoch, Sequence: g.lead.sequence, Sets: g.lead.sets}
}

// broadcast pushes p to every other node without waiting. Call it with mu held.
func (g *Group) broadcast(p *peer.Push) {
	for _, m := range g.roster.Nodes {
		if m.Node == g.node.identity.Node {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(g.node.lifetime, heartbeatTimeout)
			defer cancel()
			_, _ = g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Push: p}) // The next heartbeat makes up for a lost push.
		}()
	}
}

// updateLoads sums the in-flight requests of all nodes. Call it with mu held.
func (g *Group) updateLoads(now time.Time) {
	for node, at := range g.lead.lastHeartbeat {
		if now.Sub(at) > loadExpiry {
			delete(g.loads, node)
		}
	}
	g.loads[g.node.identity.Node] = g.load()
	g.setLoads(g.totalLoad())
}

func (g *Group) totalLoad() map[string]uint32 {
	total := map[string]uint32{}
	for _, load := range g.loads {
		for name, n := range load {
			total[name] += n
		}
	}
	return total
}
