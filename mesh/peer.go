package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eiderfold/ingress"
	"eiderfold/link"
)

const (
	// busyPingAfter is how long a link with requests in flight may be idle before it is
	// pinged.
	busyPingAfter = 500 * time.Millisecond
	// idlePingAfter is the same for a link without requests.
	idlePingAfter = 15 * time.Second
	// pongTimeout is how long a pinged link may stay unresponsive if no new connection
	// replaces it. A lossy link needs several retransmissions.
	pongTimeout = 2500 * time.Millisecond
	// Redialing starts with a pause of dialBackoffMin, which grows to dialBackoffMax.
	dialBackoffMin = 100 * time.Millisecond
	dialBackoffMax = 1 * time.Second
	// forgetAfter is how long an unreachable node is dialed before it is forgotten.
	forgetAfter = 2 * time.Minute
)

// peer is another node, which is dialed until it has been unreachable for forgetAfter.
type peer struct {
	links    *links
	address  string
	ctx      context.Context // Ends when the node is no longer dialed.
	cancel   context.CancelFunc
	draining atomic.Bool // The link closes once no work is left on it.
	mu       sync.Mutex
	member   link.Member
	endpoint *ingress.Endpoint
	link     *link.Link // nil while there is none.
	replacement
	version uint64    // Highest configuration version that the node is known to have.
	pinged  time.Time // When check last pinged the link; zero on a new link.
	seen    time.Time // When the node was last reachable.
}

// newPeer returns a peer that is dialed once run is called. The lock of links must be held.
func newPeer(l *links, m link.Member) *peer {
	ctx, cancel := context.WithCancel(l.ctx)
	return &peer{links: l, address: m.Address, ctx: ctx, cancel: cancel, member: m, endpoint: ingress.NewEndpoint(m), seen: time.Now()}
}

// close closes the link and stops dialing.
func (p *peer) close() {
	p.cancel()
	if l := p.currentLink(); l != nil {
		l.Close()
	}
}

// run dials the node until it is forgotten or the peer is closed.
func (p *peer) run() {
	defer p.cancel()
	ctx := p.ctx
	pause := backoff{min: dialBackoffMin, max: dialBackoffMax}
	for ctx.Err() == nil {
		l, err := p.connect(ctx)
		if err == nil {
			pause.reset()
			p.serve(l)
		}
		if ctx.Err() != nil {
			p.dropSuccessor()
			return
		}
		if p.hasSuccessor() {
			continue
		}
		if time.Since(p.lastSeen()) > forgetAfter {
			p.links.forget(p)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.next()):
		}
	}
}

// lastSeen returns when the node was last reachable.
func (p *peer) lastSeen() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen
}

// serve uses a link until it closes.
func (p *peer) serve(l *link.Link) {
	l.SetBodyMemory(p.links.node.bodies)
	p.mu.Lock()
	p.link = l
	p.pinged = time.Time{}
	p.mu.Unlock()
	if p.ctx.Err() != nil {
		l.Close() // The peer was closed while the link was dialed.
	}
	l.Send(p.links.hello())
	err := l.Run(func(f *link.Frame) { p.handle(l, f) })
	p.mu.Lock()
	p.link = nil
	p.version = 0
	endpoint, name := p.endpoint, p.member.Name
	p.mu.Unlock()
	p.links.node.forwarder.Disconnected(endpoint, l)
	p.links.changes.Add(1)
	p.links.node.limits.homeLost(p.address)
	p.links.node.log.Info("link lost", zap.String("node", name), zap.Error(err))
}

// handle dispatches a message from the node's gate.
func (p *peer) handle(l *link.Link, f *link.Frame) {
	n := p.links.node
	switch {
	case f.Hello != nil:
		p.handleHello(l, f.Hello)
	case f.Status != nil:
		n.forwarder.ReceiveStatus(p.currentEndpoint(), *f.Status, time.Now())
		if !f.Status.Leaving {
			p.notifyLeaving(l, *f.Status)
		}
	case f.LimitReply != nil:
		n.limits.handleReply(f.LimitReply)
	case f.LimitProbeReply != nil:
		n.limits.handleReached(p.address, f.LimitProbeReply)
	case len(f.Quarantine) > 0:
		n.quarantine.receive(f.Quarantine)
	case f.Digest != nil:
		p.links.handleDigest(l, f.Digest)
	case len(f.Records) > 0, len(f.Packed) > 0:
		p.links.handleRecords(f)
	case f.Operator != nil:
		n.evacuation.receive(f.Operator)
	case f.Configuration != nil:
		p.noteVersion(f.Configuration.Version)
		n.config.handle(f.Configuration, l)
	default:
		n.forwarder.Deliver(f)
	}
}

// handleHello records which node is at the address; it may differ from the previous one.
func (p *peer) handleHello(l *link.Link, h *link.Hello) {
	n := p.links.node
	p.mu.Lock()
	p.seen = time.Now()
	old := p.endpoint
	if h.Member != p.member {
		p.member = h.Member
		p.endpoint = ingress.NewEndpoint(h.Member)
	}
	endpoint := p.endpoint
	p.mu.Unlock()
	if endpoint != old {
		n.endpoints.Remove(old)
		if !p.draining.Load() {
			n.endpoints.Add(endpoint)
		}
	}
	p.notifyLeaving(l, endpoint.Status()) // Before the configuration, without which no health check confirms the upstream.
	n.forwarder.ReceiveStatus(endpoint, h.Status, time.Now())
	p.links.learn(h.Record())
	p.links.countBytes(l, h.Member.DataCentre == n.self.DataCentre)
	n.forwarder.Connected(endpoint, l, h.Process)
	p.links.changes.Add(1)
	n.limits.homeLinked(p.address)
	n.quarantine.sendSignificant(l)
	p.noteVersion(h.Version)
	n.evacuation.receive(h.Operator)
	n.config.handle(&link.Configuration{Version: h.Version}, l)
	n.log.Info("link up", zap.String("node", h.Member.Name), zap.String("service", h.Member.Service), zap.Stringer("mode", h.Status.Mode))
}

// notifyLeaving sends a gate that its upstream, by a status of its, leaves, if this node knows that.
func (p *peer) notifyLeaving(l *link.Link, s link.Status) {
	if m := p.links.node.forwarder.LeavingNotice(s); m != nil {
		l.Send(&link.Frame{Leaving: m})
	}
}

// currentLink returns the link to the node; nil while there is none.
func (p *peer) currentLink() *link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// uses reports whether l is the peer's current link.
func (p *peer) uses(l *link.Link) bool { return p.currentLink() == l }

// currentEndpoint returns the gate that is at the address now.
func (p *peer) currentEndpoint() *ingress.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoint
}

// noteVersion records that the node has a version of the configuration.
func (p *peer) noteVersion(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = max(p.version, version)
}

// offerVersion announces a configuration version unless the node is known to have it.
func (p *peer) offerVersion(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && p.version < version {
		p.link.Send(&link.Frame{Configuration: &link.Configuration{Version: version}})
	}
}

// check pings an idle link. When no reply comes, it tries to replace the link, and finally
// closes it.
func (p *peer) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return
	}
	received := p.link.LastReceived()
	p.seen = received
	idle := now.Sub(received)
	bound := idlePingAfter
	if p.endpoint.Busy() {
		bound = busyPingAfter
	}
	pinged := p.pinged
	if at := p.endpoint.PingPendingSince(); pinged.Before(at) {
		pinged = at // Pinged by the endpoint after an unanswered offer, however active the link was before.
	}
	switch waited := now.Sub(pinged); {
	case !pinged.After(received):
		if idle > bound {
			p.ping(now)
		}
	case waited > pongTimeout:
		p.link.Close()
	case waited >= replaceAfter && !p.replacing:
		p.replacing = true
		go p.replace(p.link)
	}
}

// ping pings the link. The lock must be held, and there must be a link.
func (p *peer) ping(now time.Time) {
	p.pinged = now
	p.link.Ping()
}
