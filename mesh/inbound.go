package mesh

import (
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/listener"
	"eiderfold/port"
)

// accept serves links that other nodes dial, until the listener is closed.
func (l *links) accept(from net.Listener) {
	listener.Serve(from, func(c net.Conn) { go l.serve(link.New(c)) })
}

// farStatusEvery is the shortest interval between two status messages to a node of another
// data centre, unless the gate closes or opens. Such a node prefers nearer gates and also
// learns the status from a refusal; immediate updates to all would dominate the traffic
// between nodes in large fleets.
const farStatusEvery = 1 * time.Second

// inbound is the state of an inbound link.
type inbound struct {
	address       string    // Address of the node; "" until its hello.
	near          bool      // The node is in the own data centre.
	statusPending bool      // The last status has not been sent.
	nextStatus    time.Time // When it may be sent.
}

// announce sends the own gate's status to all inbound links: at once if the gate closes or
// opens, or if the node is near, and otherwise once farStatusEvery has passed since the
// last one.
func (l *links) announce() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.node.gate.Status() // Read under the lock, so that the last status sent is the current one.
	l.node.forwarder.ReceiveStatus(l.localEndpoint, s, now)
	urgent := s.Mode == link.ModeClosed || l.announced == link.ModeClosed
	l.announced = s.Mode
	for in, dialer := range l.inbound {
		dialer.statusPending = true
		if urgent || dialer.near {
			dialer.nextStatus = now
		}
		dialer.sendStatus(in, s, now)
	}
}

// sendStatus sends the status if it is pending and due.
func (i *inbound) sendStatus(in *link.Link, s link.Status, now time.Time) {
	if !i.statusPending || now.Before(i.nextStatus) {
		return
	}
	in.Send(&link.Frame{Status: &s})
	i.statusPending = false
	i.nextStatus = now.Add(farStatusEvery)
}

// identify records which node dialed and whether it is near. A node uses one link at a time, so
// an older link of the same node has stalled, and is closed.
func (l *links) identify(in *link.Link, m link.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, dialer := range l.inbound {
		if other != in && dialer.address == m.Address {
			other.Close()
		}
	}
	if dialer := l.inbound[in]; dialer != nil {
		dialer.address = m.Address
		dialer.near = l.isNear(m)
		l.countBytes(in, dialer.near)
	}
}

// countBytes counts a link's bytes by kind of message, separately for near and far nodes:
// traffic between data centres is expensive.
func (l *links) countBytes(to *link.Link, near bool) {
	prefix := "link_bytes_far_"
	if near {
		prefix = "link_bytes_near_"
	}
	to.SetMeter(func(kind string, bytes int) { l.node.metrics.Add(prefix+kind, bytes) })
}

// serve serves an inbound link until it closes.
func (l *links) serve(in *link.Link) {
	in.SetBodyMemory(l.node.bodies)
	l.mu.Lock()
	l.inbound[in] = &inbound{}
	in.Send(l.hello()) // Under the lock, so that no newer status precedes it.
	l.mu.Unlock()
	err := in.Run(func(f *link.Frame) { l.handleInbound(in, f) })
	l.mu.Lock()
	delete(l.inbound, in)
	l.mu.Unlock()
	l.node.gate.LinkLost(in)
	l.node.limits.linkRemoved(in)
	l.node.log.Debug("inbound link ended", zap.String("from", in.RemoteAddr()), zap.Error(err))
}

// handleLeaving closes the gate for an upstream that leaves by the notice of another node.
func (l *links) handleLeaving(in *link.Link, m *link.LeavingNotice) {
	upstream := port.Incarnation{ID: m.Upstream, StartedAt: m.StartedAt}
	l.node.metrics.Count("leaving_notice")
	l.node.log.Info("upstream leaves by another node's notice", zap.Stringer("upstream", upstream), zap.String("from", in.RemoteAddr()))
	l.node.gate.NoteLeaving(upstream)
}

// handleInbound dispatches a message from a node that dialed.
func (l *links) handleInbound(in *link.Link, f *link.Frame) {
	switch {
	case f.Hello != nil:
		l.learn(f.Hello.Record())
		l.identify(in, f.Hello.Member)
		l.node.limits.linkAdded(f.Hello.Member.Address, in)
		l.node.quarantine.sendSignificant(in)
		l.node.evacuation.receive(f.Hello.Operator)
		l.node.config.handle(&link.Configuration{Version: f.Hello.Version}, in)
	case f.Configuration != nil:
		l.node.config.handle(f.Configuration, in)
	case f.Operator != nil:
		l.node.evacuation.receive(f.Operator)
	case f.Digest != nil:
		l.handleDigest(in, f.Digest)
	case len(f.Records) > 0, len(f.Packed) > 0:
		l.handleRecords(f)
	case f.Leaving != nil:
		l.handleLeaving(in, f.Leaving)
	case f.LimitRequest != nil:
		l.node.limits.handleRequest(in, f.LimitRequest)
	case f.HomeNotice != nil:
		l.node.limits.handleHomeNotice(f.HomeNotice)
	case f.LimitProbe != nil:
		go l.node.limits.handleProbe(in, f.LimitProbe)
	case len(f.Quarantine) > 0:
		l.node.quarantine.receive(f.Quarantine)
	case len(f.LimitReports) > 0:
		l.node.limits.handleReports(f.LimitReports)
	default:
		l.node.gate.Handle(in, f)
	}
}

// awaitDelivery waits until the nodes that dialed have got what was sent to them so far, the last answers among it,
// but not for longer than until a time.
func (l *links) awaitDelivery(until time.Time) {
	l.mu.Lock()
	var pending []*link.Delivery
	for in := range l.inbound {
		pending = append(pending, in.Delivery())
	}
	l.mu.Unlock()
	for time.Now().Before(until) {
		pending = slices.DeleteFunc(pending, (*link.Delivery).Done)
		if len(pending) == 0 {
			return
		}
		time.Sleep(stopPoll)
	}
	l.node.log.Warn("stopped with undelivered messages to other nodes", zap.Int("links", len(pending)))
}
