package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"eiderfold/ingress"
	"eiderfold/link"
)

const (
	// A node keeps links to so many gates of each service in its own data centre, and
	// in the others. Two dozen are enough to choose from; more would make the cost
	// of a node grow with the fleet.
	nearLinks = 24
	farLinks  = 24
	// removers is how many nodes remove the records of those that they forget: more than
	// one, as no node dials all others.
	removers = 3
)

// learn takes note of a node that somebody has seen.
func (l *links) learn(m link.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Address == l.node.self.Address || l.known[m.Address] == m {
		return
	}
	l.known[m.Address] = m
	l.node.budget.NoteGates(l.gates())
	if l.ctx == nil {
		l.pending = append(l.pending, m)
		return
	}
	l.consider(m)
}

// gates counts the known gates of this node's service, its own among them, with the
// lock held.
func (l *links) gates() int {
	n := 1
	for _, m := range l.known {
		if m.Service == l.node.self.Service {
			n++
		}
	}
	return n
}

// consider dials a node if it belongs to those that this one keeps links to. In a
// large fleet these are some of each service's, in an order of this node's own, so
// that every gate is dialed by about as many nodes as any other.
func (l *links) consider(m link.Member) {
	near := m.DataCentre == l.node.self.DataCentre
	limit := farLinks
	if near {
		limit = nearLinks
	}
	before := 0
	for _, o := range l.known {
		same := o.Service == m.Service && (o.DataCentre == l.node.self.DataCentre) == near
		if same && l.preference(o) < l.preference(m) {
			before++
		}
	}
	if before < limit {
		l.add(m)
	}
}

// preference orders members by chance, differently on every node.
func (l *links) preference(m link.Member) uint64 {
	return xxhash.Sum64String(l.node.self.Name + " " + m.Name + " " + m.Address)
}

// add begins to dial a node, with the lock held.
func (l *links) add(m link.Member) {
	if l.peers[m.Address] != nil {
		return
	}
	p := &peer{links: l, address: m.Address, member: m, target: ingress.NewTarget(m), seen: time.Now()}
	l.peers[m.Address] = p
	l.node.targets.Add(p.target)
	l.node.log.Info("node learned", zap.String("node", m.Name), zap.String("service", m.Service), zap.String("address", m.Address))
	go p.run(l.ctx)
}

// forget drops a node that has been away for long, and its record if this node is one of
// the few that see to that.
func (l *links) forget(p *peer) {
	l.mu.Lock()
	delete(l.peers, p.address)
	delete(l.known, p.address)
	l.refill()
	l.mu.Unlock()
	l.node.targets.Remove(p.target)
	l.node.log.Info("node forgotten", zap.String("node", p.member.Name), zap.Time("seen", p.seen))
	if s := l.standing(); s.before < removers && !s.isolated {
		l.node.directory.drop(p.member)
	}
}

// refill dials members that have come into the place of one that is forgotten.
func (l *links) refill() {
	for _, m := range l.known {
		l.consider(m)
	}
}
