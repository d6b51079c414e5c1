package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eiderfold/ingress"
	"eiderfold/link"
	"eiderfold/membership"
)

const (
	// linkCheckEvery is the interval between checks for unresponsive links.
	linkCheckEvery = 100 * time.Millisecond
	// gossipEvery is the interval at which gossip is passed on and the view is updated.
	gossipEvery = 250 * time.Millisecond
	// inboundTimeout is how long an inbound link may be idle, without even pings, before it
	// is closed.
	inboundTimeout = 50 * time.Second
)

// links are the connections to other nodes. This node dials the gates that the view
// selects; links that others dial are served by this node's gate.
type links struct {
	node          *Node
	localEndpoint *ingress.Endpoint
	localIP       net.IP // Source address for dialing.
	mu            sync.Mutex
	ctx           context.Context // Ends with the node.
	cancel        context.CancelFunc
	view          *membership.View // View of the fleet; only part of it is dialed.
	peers         map[string]*peer
	inbound       map[*link.Link]*inbound
	nextProbe     time.Time     // When all links may be pinged again.
	announced     link.Mode     // Last mode announced on all inbound links.
	gossip        []link.Record // Records to pass on to other nodes.
	selfVersion   atomic.Uint64 // Version of the own record, readable without mu.
	changes       atomic.Uint64 // Counts changes of the known or linked nodes.
}

func newLinks(n *Node) *links {
	host, _, _ := net.SplitHostPort(n.settings.Load().Links()) // Valid, as the settings were checked.
	self := link.Record{Member: n.self, Version: uint64(time.Now().UnixMilli())}
	l := &links{node: n, localIP: net.ParseIP(host), view: membership.New(self, membership.LinkCounts{Near: nearLinks, Far: farLinks}),
		peers: map[string]*peer{}, inbound: map[*link.Link]*inbound{}}
	l.selfVersion.Store(self.Version)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// self returns this node's own record.
func (l *links) self() link.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Self()
}

// run checks the links until ctx ends.
func (l *links) run(ctx context.Context) {
	defer l.cancel()
	checks := time.NewTicker(linkCheckEvery)
	defer checks.Stop()
	gossip := time.NewTicker(gossipEvery)
	defer gossip.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-checks.C:
			l.check(now)
		case now := <-gossip.C:
			l.update(membership.Ticked{At: now})
			l.sendGossip()
		}
	}
}

// randomLink returns a link to a random linked node; nil if there is none.
func (l *links) randomLink() *link.Link {
	if found := l.randomLinks(1, anyPeer); len(found) > 0 {
		return found[0]
	}
	return nil
}

// near reports whether a link leads to a node of the own data centre.
func (l *links) near(to *link.Link) bool {
	for _, p := range l.all() {
		if p.uses(to) {
			return l.nearPeer(p)
		}
	}
	return false
}

// all returns a snapshot of the peers; each may change at any time.
func (l *links) all() []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		out = append(out, p)
	}
	return out
}

// allLinks returns one link to each linked node, outbound or inbound.
func (l *links) allLinks() []*link.Link {
	var out []*link.Link
	linked := map[string]bool{"": true} // Inbound links without a hello yet are skipped.
	for _, p := range l.all() {
		if to := p.currentLink(); to != nil {
			out = append(out, to)
			linked[p.address] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for in, dialer := range l.inbound {
		if !linked[dialer.address] {
			out = append(out, in)
			linked[dialer.address] = true
		}
	}
	return out
}

// dialsAll reports whether this node dials all others that it knows.
func (l *links) dialsAll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers) >= l.view.Fleet()-1
}

// check pings idle dialed links, closes unresponsive ones and drained ones without requests,
// closes silent inbound links, and sends these the status if that is due.
func (l *links) check(now time.Time) {
	for _, p := range l.all() {
		p.check(now)
		l.closeDrained(p)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.node.gate.Status() // Not that of the latest announcement, whose room is out of date.
	for in, dialer := range l.inbound {
		if now.Sub(in.LastReceived()) > inboundTimeout {
			in.Close()
		}
		dialer.sendStatus(in, status, now)
	}
}

// offerVersion announces a configuration version to the peers that are not known to have
// it.
func (l *links) offerVersion(version uint64) {
	for _, p := range l.all() {
		p.offerVersion(version)
	}
}

// hello returns the first message on a link, in either direction.
func (l *links) hello() *link.Frame {
	version, _ := l.node.config.current()
	return &link.Frame{Hello: &link.Hello{Member: l.node.self, RecordVersion: l.selfVersion.Load(), Process: l.node.process, Version: version, Status: l.node.gate.Status(), Operator: l.node.evacuation.message()}}
}

// close closes all links.
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
