package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/ingress"
	"eiderfold/link"
)

const (
	// checkEvery is the pace at which silent links are looked for.
	checkEvery = 250 * time.Millisecond
	// busyPing is how long a link with work may be silent before it is asked.
	busyPing = 500 * time.Millisecond
	// idlePing is the same for a link without work.
	idlePing = 5 * time.Second
	// deadAfter is how long a link that was asked may stay silent. A lossy link
	// needs several retransmissions.
	deadAfter = 2500 * time.Millisecond
	// idleDead ends a link from a peer that sends not even pings.
	idleDead = 20 * time.Second
	// Dialing again begins after dialLeast and slows down to dialMost.
	dialLeast = 100 * time.Millisecond
	dialMost  = 1 * time.Second
	// A node keeps links to so many gates of each service in its own data centre, and
	// in the others. Two dozen are enough to choose from; more would make the cost
	// of a node grow with the fleet.
	nearLinks = 24
	farLinks  = 24
	// forgetAfter is how long an unreachable node is dialed.
	forgetAfter = 2 * time.Minute
	// acceptPause is the pause after a failed accept.
	acceptPause = 20 * time.Millisecond
)

// links are the connections to all other nodes. This node dials every gate; what
// others dial is answered by this node's gate.
type links struct {
	node    *Node
	local   *ingress.Target
	from    net.IP // Where this node dials from.
	mu      sync.Mutex
	ctx     context.Context        // Set while the node runs.
	known   map[string]link.Member // By address; not all of them are dialed.
	peers   map[string]*peer
	inbound map[*link.Link]bool
	pending []link.Member // Learned before run.
}

func newLinks(n *Node) *links {
	host, _, _ := net.SplitHostPort(n.settings.Load().Links()) // Checked with the settings.
	return &links{node: n, from: net.ParseIP(host), known: map[string]link.Member{}, peers: map[string]*peer{}, inbound: map[*link.Link]bool{}}
}

// peer is another node, dialed until it has been away for long.
type peer struct {
	links   *links
	address string
	mu      sync.Mutex
	member  link.Member
	target  *ingress.Target
	link    *link.Link
	version uint64 // Of the configuration it is known to have.
	pinged  time.Time
	seen    time.Time // When it could last be reached.
}

// addLocal makes the own gate a target without a link.
func (l *links) addLocal() {
	n := l.node
	l.local = ingress.NewTarget(n.self)
	n.forwarder.Connected(l.local, localSink{n}, n.process)
	n.targets.Add(l.local)
}

// localSink hands messages to the own gate, and back.
type localSink struct{ node *Node }

// Send takes an ingress's message to the gate.
func (s localSink) Send(f *link.Frame) bool {
	s.node.gate.Handle(localReturn(s), f)
	return true
}

// localReturn takes the gate's messages back to the ingress.
type localReturn struct{ node *Node }

// Send takes a gate's message to the ingress.
func (s localReturn) Send(f *link.Frame) bool {
	s.node.forwarder.Deliver(f)
	return true
}

// run checks the links until ctx ends.
func (l *links) run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	for _, m := range l.pending {
		l.consider(m)
	}
	l.pending = nil
	l.mu.Unlock()
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.check(now)
		}
	}
}

// learn takes note of a node that somebody has seen.
func (l *links) learn(m link.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Address == l.node.self.Address || l.known[m.Address] == m {
		return
	}
	l.known[m.Address] = m
	l.node.budget.Fleet(len(l.known) + 1)
	if l.ctx == nil {
		l.pending = append(l.pending, m)
		return
	}
	l.consider(m)
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

func (l *links) forget(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, p.address)
	delete(l.known, p.address)
	l.refill()
	l.node.targets.Remove(p.target)
	l.node.log.Info("node forgotten", zap.String("node", p.member.Name), zap.Time("seen", p.seen))
}

// fleet returns how many nodes are known, this one among them.
func (l *links) fleet() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.known) + 1
}

// among tells whether this node is one of the first n, in an order that all nodes
// agree on, of those that are known and not found unreachable. A node that reaches
// fewer than half of those that it dials is cut off, and counts on nobody.
func (l *links) among(n int) bool {
	before, isolated := l.order()
	return before < n || isolated
}

// place is how many come before this node in that order.
func (l *links) place() int {
	before, _ := l.order()
	return before
}

func (l *links) order() (before int, isolated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reached := 0
	own := rank(l.node.self.Name)
	for address, m := range l.known {
		p := l.peers[address]
		up := p != nil && p.current().Reachable()
		if up {
			reached++
		}
		if (up || p == nil) && rank(m.Name) < own {
			before++
		}
	}
	return before, 2*reached < len(l.peers)
}

// rank orders nodes by chance, but everywhere alike.
func rank(name string) uint64 { return xxhash.Sum64String(name) }

// any returns a link to some node that can be reached; nil if there is none.
func (l *links) any() *link.Link {
	peers := l.all()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if up := p.way(); up != nil {
			return up
		}
	}
	return nil
}

// near tells whether a link leads to a node of the own data centre.
func (l *links) near(to *link.Link) bool {
	for _, p := range l.all() {
		if p.uses(to) {
			return p.current().Member().DataCentre == l.node.self.DataCentre
		}
	}
	return false
}

// refill dials members that have come into the place of one that is forgotten.
func (l *links) refill() {
	for _, m := range l.known {
		l.consider(m)
	}
}

func (l *links) all() []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		out = append(out, p)
	}
	return out
}

// check pings links that are silent and ends those that stay so.
func (l *links) check(now time.Time) {
	for _, p := range l.all() {
		p.check(now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for in := range l.inbound {
		if now.Sub(in.Received()) > idleDead {
			in.Close()
		}
	}
}

// announce tells everybody of the own gate's status.
func (l *links) announce(s link.Status) {
	l.local.SetStatus(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	for in := range l.inbound {
		in.Send(&link.Frame{Status: &s})
	}
}

// offerVersion tells peers that are not known to have it of a configuration.
func (l *links) offerVersion(version uint64) {
	for _, p := range l.all() {
		p.offerVersion(version)
	}
}

func (l *links) hello() *link.Frame {
	version, _ := l.node.config.current()
	return &link.Frame{Hello: &link.Hello{Member: l.node.self, Process: l.node.process, Version: version, Status: l.node.gate.Status()}}
}

// accept serves links that other nodes dial.
func (l *links) accept(from net.Listener) {
	for {
		c, err := from.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go l.serve(link.New(c))
	}
}

// serve answers one dialed link until it ends.
func (l *links) serve(in *link.Link) {
	l.mu.Lock()
	l.inbound[in] = true
	l.mu.Unlock()
	in.Send(l.hello())
	err := in.Run(func(f *link.Frame) { l.fromIngress(in, f) })
	l.mu.Lock()
	delete(l.inbound, in)
	l.mu.Unlock()
	l.node.gate.Lost(in)
	l.node.log.Debug("inbound link ended", zap.String("from", in.Remote()), zap.Error(err))
}

func (l *links) fromIngress(in *link.Link, f *link.Frame) {
	switch {
	case f.Hello != nil:
		l.learn(f.Hello.Member)
		l.node.config.handle(&link.Configuration{Version: f.Hello.Version}, in)
	case f.Configuration != nil:
		l.node.config.handle(f.Configuration, in)
	default:
		l.node.gate.Handle(in, f)
	}
}

// close ends all links.
func (l *links) close() {
	for _, p := range l.all() {
		p.mu.Lock()
		if p.link != nil {
			p.link.Close()
		}
		p.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for in := range l.inbound {
		in.Close()
	}
}
