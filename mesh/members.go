package mesh

import (
	"math"
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
	// newsMargin is how many nodes hear of a newcomer above ln(n): one in a hundred
	// newcomers is missed by some node, which finds it when the directory is read again.
	newsMargin = 4
	// newsAfter is how long after its start a node passes on no news.
	newsAfter = 3 * time.Second
)

// learn takes note of a node that somebody has seen, and reports whether it is new.
func (l *links) learn(m link.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Address == l.node.self.Address || l.known[m.Address] == m {
		return false
	}
	l.known[m.Address] = m
	l.reached.Add(1)
	l.node.budget.NoteGates(l.gates())
	if l.ctx == nil {
		l.pending = append(l.pending, m)
		return true
	}
	l.consider(m)
	return true
}

// hear is learn for what another node has said. A newcomer dials some nodes only, and
// the others must know of it too: nodes that know different members take different ones
// for an account's home. So what is news here is passed on, once. A node that has just
// started passes nothing on: it has met the whole fleet, which knows itself.
func (l *links) hear(members ...link.Member) {
	for _, m := range members {
		if !l.learn(m) || time.Now().Before(l.node.settled.Add(newsAfter)) {
			continue
		}
		l.mu.Lock()
		l.news = append(l.news, m)
		l.mu.Unlock()
	}
}

// spread passes news on to some nodes drawn by chance.
func (l *links) spread() {
	l.mu.Lock()
	news := l.news
	l.news = nil
	l.mu.Unlock()
	if len(news) == 0 {
		return
	}
	for _, to := range l.some(l.audience(), "") {
		to.Send(&link.Frame{Members: news})
	}
}

// audience is to how many nodes, drawn by chance, news is passed on so that all hear of it:
// with ln(n) + c of them, e^-c nodes of the whole fleet are left out.
func (l *links) audience() int {
	return int(math.Ceil(math.Log(float64(l.fleetSize()+1)))) + newsMargin
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
	l.reached.Add(1)
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
