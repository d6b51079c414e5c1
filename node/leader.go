package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/config"
	"eiderfold/core"
	"eiderfold/peer"
	"eiderfold/port"
)

const (
	electionPeriod = 300 * time.Millisecond
	takeoverAfter  = 2 * time.Second
	takeoverRank   = 700 * time.Millisecond // Longer for each node that comes before.
	firstRank      = 150 * time.Millisecond // The same while there has never been a coordinator.
	collectTimeout = 3 * time.Second
	collectPause   = 500 * time.Millisecond
	assignmentKey  = "assignment"
	silentAfter    = 2 * time.Second
	clockSkew      = time.Minute
	// unnoticed is how long before a change of coordinator a node may have been
	// replaced without the last one's having told the others.
	unnoticed = 15 * time.Second
	// settleAfter is how long after the last promise an old lease may still be
	// acted on: its node counts by a clock that may run slow.
	settleAfter = core.Lease + core.Lease/4
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

// deposed is what this node last coordinated, and whether it then knew of every
// grant. Its successor asks for that.
type deposed struct {
	epoch    uint64
	complete bool
}

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
		address, previous := g.addressOf(node), g.node.previous(g, node)
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

// lostSince says until when the loss of two coordinators in a row may matter: the
// one before the present assignment, and the one it names.
func (g *Group) lostSince(changedAt int64) time.Time {
	if changedAt == 0 {
		return time.Time{}
	}
	return time.UnixMilli(changedAt).Add(g.window + clockSkew)
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
	g.claims.Update(core.Collected{At: now, Node: node, Held: c.Held, Lost: lost, Complete: c.Complete})
	g.lead.confirmed = now
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
	settled := l.epoch == 1 || now.After(l.promised.Add(settleAfter))
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
	changed := !sameSet(l.sets[service], set)
	if !changed {
		return
	}
	next := map[string][]core.Standing{}
	for name, s := range l.sets {
		next[name] = s
	}
	next[service] = set
	l.sets = next
	l.sequence++
	g.view.Told(g.stamped(), time.Time{})
	g.spread(&peer.Push{Stamped: g.stampedCopy()})
}

func sameSet(a, b []core.Standing) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (g *Group) stamped() core.Stamped {
	return core.Stamped{Epoch: g.lead.epoch, Sequence: g.lead.sequence, Sets: g.lead.sets}
}

func (g *Group) stampedCopy() *core.Stamped {
	s := g.stamped()
	return &s
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
