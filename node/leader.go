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
	electionPeriod = 300 * time.Millisecond
	takeoverAfter  = 3 * time.Second
	takeoverRank   = 700 * time.Millisecond // Longer for each node that comes before.
	firstRank      = 150 * time.Millisecond // The same while there has never been a coordinator.
	collectTimeout = 3 * time.Second
	collectPause   = 500 * time.Millisecond
	assignmentKey  = "assignment"
	silentAfter    = 4 * time.Second
	clockSkew      = time.Minute
	// unnoticed is how long before a change of coordinator a node may have been
	// replaced without the last one's having told the others.
	unnoticed = 15 * time.Second
)

// leadership is what only the coordinator has.
type leadership struct {
	epoch     uint64
	began     time.Time
	sequence  uint64
	sets      map[string][]core.Standing
	promised  time.Time            // When the last node promised; zero while some have not.
	installed bool                 // The judges decide.
	confirmed time.Time            // When a node last showed that it knows no later epoch.
	heard     map[string]time.Time // By node.
	runs      map[string]uint64    // Incarnation by node.
	stopping  map[string]bool      // Nodes that said so.
	cancel    context.CancelFunc
}

// oversee is the coordinator's part of time passing. Call it with mu held.
func (g *Group) oversee(now time.Time) {
	l := g.lead
	alone := len(g.roster.Nodes) <= 1
	if alone {
		l.confirmed = now
	}
	if l.promised.IsZero() && g.claims.Waiting() == 0 {
		l.promised = now
	}
	settled := l.epoch == 1 || now.After(l.promised.Add(core.Settle))
	confirmed := now.Before(l.confirmed.Add(core.Lease))
	if !l.installed && !l.promised.IsZero() && settled && confirmed && g.node.local == nil {
		l.installed = true
		for _, s := range g.services {
			s.judge.Update(core.Installed{At: now})
		}
		g.log.Info("deciding", zap.Uint64("epoch", l.epoch))
	}
	if l.installed && !confirmed {
		g.suspend("no other node confirms")
	}
	if confirmed {
		g.view.Told(g.stamped(), l.confirmed)
		g.heard = now
	}
	g.countLoads(now)
}

// suspend stops the judges until another node has confirmed this coordinator.
func (g *Group) suspend(why string) {
	g.log.Warn("not deciding", zap.String("reason", why))
	g.lead.installed = false
	g.lead.promised = time.Now() // What was told before must run out again.
	g.lead.sets = map[string][]core.Standing{}
	for _, s := range g.services {
		s.judge.Update(core.Dismissed{At: time.Now()})
	}
}

// paused handles that this process stood still: somebody may have taken over.
func (g *Group) paused(gap time.Duration) {
	g.log.Warn("this process stood still", zap.Duration("gap", gap))
	if g.leading() {
		g.lead.confirmed = time.Time{}
		if g.lead.installed {
			g.suspend("stood still")
		}
		go g.reconfirm(g.lead.epoch)
	}
}

// reconfirm asks another node whether it has promised a later epoch. One node is
// enough: a successor decides nothing before all have promised it.
func (g *Group) reconfirm(epoch uint64) {
	for _, m := range g.others() {
		ctx, cancel := context.WithTimeout(g.node.life, collectTimeout)
		reply, err := g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Collect: &peer.Collect{Epoch: epoch}})
		cancel()
		if err != nil || reply.Collect == nil {
			continue
		}
		g.mu.Lock()
		if g.leading() && g.lead.epoch == epoch {
			if reply.Collect.Promised {
				g.lead.confirmed = time.Now()
			} else {
				g.stepDown()
			}
		}
		g.mu.Unlock()
		return
	}
}

// stepDown ends this node's time as coordinator. Call it with mu held.
func (g *Group) stepDown() {
	if !g.leading() {
		return
	}
	g.deposed = deposed{epoch: g.lead.epoch, complete: g.claims.Complete(time.Now())}
	g.lead.cancel()
	g.lead = nil
	g.claims.Update(core.Dismissed{At: time.Now()})
	for _, s := range g.services {
		s.judge.Update(core.Dismissed{At: time.Now()})
	}
	g.log.Info("no longer coordinator")
}

// publish puts a service's set among what is told to the other nodes.
func (g *Group) publish(service string, set []core.Standing) {
	if !g.leading() {
		return
	}
	l := g.lead
	if slices.Equal(l.sets[service], set) {
		return
	}
	l.sets = maps.Clone(l.sets) // The old map may be on its way to other nodes.
	l.sets[service] = set
	l.sequence++
	stamped := g.stamped()
	g.view.Told(stamped, time.Time{})
	g.spread(&peer.Push{Stamped: &stamped})
}

func (g *Group) stamped() core.Stamped {
	return core.Stamped{Epoch: g.lead.epoch, Sequence: g.lead.sequence, Sets: g.lead.sets}
}

// spread pushes news to every other node without waiting. Call it with mu held.
func (g *Group) spread(p *peer.Push) {
	for _, m := range g.roster.Nodes {
		if m.Node == g.node.identity.Node {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(g.node.life, heartbeatTimeout)
			defer cancel()
			_, _ = g.node.call(ctx, m.Address, &peer.Request{Template: g.template, Push: p}) // The next heartbeat brings it too.
		}()
	}
}

// countLoads sums what all nodes have in flight. Call it with mu held.
func (g *Group) countLoads(now time.Time) {
	for node, at := range g.lead.heard {
		if now.Sub(at) > silentAfter {
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
