package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

const (
	// replaceAfter is how long a pinged link may stay silent before a new connection is tried
	// beside it. One retransmission of a lost packet takes 200 ms.
	replaceAfter = 300 * time.Millisecond
	// helloTimeout is how long the peer may take to send its first message on a new connection.
	helloTimeout = 1 * time.Second
	// stallProbeEvery is the shortest interval between two pings of all links.
	stallProbeEvery = 1 * time.Second
)

// replacement is the state of replacing a peer's link. The peer's lock guards it.
type replacement struct {
	replacing bool       // A new connection is being tried.
	successor *link.Link // Takes the place of the link that was closed; nil if there is none.
}

// replace tries a new connection beside a link that is silent. A connection may stall for good
// while new ones work, and nothing but a reply on a new one tells that apart from a peer that is
// suspended or cut off. If the peer replies there first, the new connection replaces the link.
func (p *peer) replace(stalled *link.Link) {
	pinged := time.Now()
	l, err := link.Dial(p.ctx, p.links.localIP, p.address)
	replied := err == nil && l.AwaitData(helloTimeout)
	p.mu.Lock()
	p.replacing = false
	replaced := replied && p.link == stalled && stalled.LastReceived().Before(pinged)
	if replaced {
		p.successor = l
	}
	name := p.member.Name
	p.mu.Unlock()
	if !replaced {
		if err == nil {
			l.Close()
		}
		return
	}
	stalled.Close()
	p.links.node.metrics.Count("link_replaced")
	p.links.node.log.Info("link stalled, replaced", zap.String("node", name))
	p.links.probeAll(time.Now())
}

// connect returns the connection that replaces the last link, or a new one.
func (p *peer) connect(ctx context.Context) (*link.Link, error) {
	p.mu.Lock()
	l := p.successor
	p.successor = nil
	p.mu.Unlock()
	if l != nil {
		return l, nil
	}
	return link.Dial(ctx, p.links.localIP, p.address)
}

// hasSuccessor reports whether a connection is ready that replaces the last link.
func (p *peer) hasSuccessor() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.successor != nil
}

// dropSuccessor closes the connection that would have replaced the link.
func (p *peer) dropSuccessor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successor != nil {
		p.successor.Close()
		p.successor = nil
	}
}

// probeAll pings all dialed links, at most once in stallProbeEvery. What stalled one connection
// has often stalled others, and callers' requests should not have to find each of them.
func (l *links) probeAll(now time.Time) {
	l.mu.Lock()
	due := !now.Before(l.nextProbe)
	if due {
		l.nextProbe = now.Add(stallProbeEvery)
	}
	l.mu.Unlock()
	if !due {
		return
	}
	for _, p := range l.all() {
		p.probe(now)
	}
}

// probe pings the link unless a ping is pending.
func (p *peer) probe(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && !p.pinged.After(p.link.LastReceived()) {
		p.ping(now)
	}
}
