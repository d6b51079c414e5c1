package mesh

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/membership"
)

const (
	// A node keeps links to this many gates of each service in its own data centre, and in
	// the others. That is enough to choose from; more would make the cost of a node grow
	// with the fleet.
	nearLinks = 24
	farLinks  = 24
	// removers is how many nodes remove the records of nodes that they forget. It is more
	// than one because no node dials all others.
	removers = 3
	// gossipMargin is the number c of gossip recipients beyond ln(n). The probability that
	// some node misses a record is about e^-c, here two in a hundred; that node learns of it
	// when it compares digests with another.
	gossipMargin = 4
	// gossipDelay is how long after its start a node begins to pass on gossip.
	gossipDelay = 3 * time.Second
	// packThreshold is the number of records from which on they are sent compressed.
	packThreshold = 8
)

// learn applies records from the store or from another node. A record that declares a node
// gone to which this node has a link is not applied but sent to that node, which then
// refutes it.
func (l *links) learn(records ...link.Record) {
	accepted := make([]link.Record, 0, len(records))
	for _, r := range records {
		if err := r.Check(); err != nil {
			l.node.metrics.Count("records_unreadable")
			l.node.log.Warn("ignoring a membership record", zap.String("node", r.Name), zap.String("address", r.Address), zap.Error(err))
			continue
		}
		if r.Gone {
			if to := l.linkTo(r.Address); to != nil {
				to.Send(&link.Frame{Records: []link.Record{r}})
				continue
			}
		}
		accepted = append(accepted, r)
	}
	l.update(membership.Received{At: time.Now(), Records: accepted})
}

// update applies a message to the view and executes the resulting commands. It returns
// those that concern only the sender of the message.
func (l *links) update(m membership.Message) (forSender []membership.Command) {
	l.mu.Lock()
	fleet := l.view.Fleet()
	commands := l.view.Update(m)
	var compare *membership.Compare
	for _, c := range commands {
		switch c := c.(type) {
		case membership.Dial:
			l.add(c.Member)
		case membership.Drop:
			l.drain(c.Address)
		case membership.Updates:
			l.queueGossip(c.Records)
		case membership.Refute:
			l.selfVersion.Store(l.view.Self().Version)
			go l.node.directory.restore()
		case membership.Compare:
			compare = &c
		default:
			forSender = append(forSender, c)
		}
	}
	if l.view.Fleet() != fleet {
		l.changes.Add(1)
		l.node.budget.SetRank(l.view.Position())
	}
	if l.node.directory.discovered.Load() || l.view.Informed() {
		l.node.budget.ObserveGates(l.view.Gates(l.node.self.Service))
	}
	l.mu.Unlock()
	if compare != nil {
		l.compare(compare)
	}
	return forSender
}

// queueGossip queues new records to be passed on. The lock must be held. A new node dials
// only some nodes, and the others have to learn of it too: nodes with different members
// choose different homes for an account. A node that has just started passes nothing on, as
// it has learned only of nodes that already know each other.
func (l *links) queueGossip(records []link.Record) {
	if time.Now().After(l.node.joinDeadline.Add(gossipDelay)) {
		l.gossip = append(l.gossip, records...)
	}
}

// sendGossip sends queued records to random nodes of the own data centre. A new node dials
// some nodes in each of the others, which do the same there, so little of this traffic
// crosses between data centres, where it is expensive.
func (l *links) sendGossip() {
	l.mu.Lock()
	records := l.gossip
	l.gossip = nil
	l.mu.Unlock()
	if len(records) == 0 {
		return
	}
	for _, to := range l.randomLinks(l.gossipFanout(), l.nearPeer) {
		sendRecords(to, records)
	}
}

// gossipFanout returns the number of random nodes to send gossip to so that it reaches all:
// with ln(n) + c recipients, the probability that some node of the whole fleet misses it is
// about e^-c (see gossipMargin).
func (l *links) gossipFanout() int {
	return int(math.Ceil(math.Log(float64(l.fleetSize()+1)))) + gossipMargin
}

func (l *links) isNear(m link.Member) bool { return m.DataCentre == l.node.self.DataCentre }

// nearPeer reports whether a node is in the own data centre.
func (l *links) nearPeer(p *peer) bool { return l.isNear(p.currentEndpoint().Member()) }

// compare sends the digest of the known records to a random node, which answers where its
// own differs.
func (l *links) compare(c *membership.Compare) {
	var to *link.Link
	for _, p := range l.shuffled() {
		candidate := p.currentLink()
		if candidate == nil {
			continue
		}
		to = candidate
		if l.isNear(p.currentEndpoint().Member()) != c.Far {
			break
		}
	}
	if to == nil {
		l.update(membership.NotCompared{At: time.Now()})
		return
	}
	to.Send(&link.Frame{Digest: &link.Digest{Sums: c.Sums}})
}

// handleRecords applies membership records from another node.
func (l *links) handleRecords(f *link.Frame) {
	records := f.Records
	if len(f.Packed) > 0 {
		text, err := unpack(f.Packed)
		if err == nil {
			err = cbor.Unmarshal(text, &records)
		}
		if err != nil {
			l.node.metrics.Count("records_unreadable")
			l.node.log.Warn("cannot decode membership records from peer", zap.Error(err))
			return
		}
	}
	l.learn(records...)
}

// handleDigest compares another node's digest with the own one and answers where they
// differ.
func (l *links) handleDigest(from *link.Link, d *link.Digest) {
	for _, c := range l.update(membership.Compared{At: time.Now(), Sums: d.Sums, Answer: d.Reply}) {
		switch c := c.(type) {
		case membership.Reply:
			sendRecords(from, c.Records)
		case membership.Answer:
			from.Send(&link.Frame{Digest: &link.Digest{Sums: c.Sums, Reply: true}})
		}
	}
}

// sendRecords sends records, compressed if there are at least packThreshold.
func sendRecords(to *link.Link, records []link.Record) {
	if len(records) < packThreshold {
		to.Send(&link.Frame{Records: records})
		return
	}
	text, err := cbor.Marshal(records)
	if err != nil {
		return // Cannot happen: records hold only texts and numbers.
	}
	to.Send(&link.Frame{Packed: pack(text)})
}

// add starts to dial a node, and keeps a link that is draining. The lock must be held.
func (l *links) add(m link.Member) {
	if p := l.peers[m.Address]; p != nil {
		l.undrain(p)
		return
	}
	p := newPeer(l, m)
	l.peers[m.Address] = p
	l.node.endpoints.Add(p.endpoint)
	l.node.log.Info("node learned", zap.String("node", m.Name), zap.String("service", m.Service), zap.String("address", m.Address))
	go p.run()
}

// drain closes a link once no work is left on it; until then nothing new is offered over
// it. The lock must be held.
func (l *links) drain(address string) {
	if p := l.peers[address]; p != nil {
		p.draining.Store(true)
		l.node.endpoints.Remove(p.currentEndpoint())
	}
}

// undrain keeps a link that is draining. The lock must be held.
func (l *links) undrain(p *peer) {
	if p.draining.Swap(false) {
		l.node.endpoints.Add(p.currentEndpoint())
	}
}

// closeDrained closes a draining link that has no work left.
func (l *links) closeDrained(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.draining.Load() && !p.currentEndpoint().Busy() {
		delete(l.peers, p.address)
		l.changes.Add(1)
		p.close()
	}
}

// forget drops a node that has been unreachable for forgetAfter, and removes its record if
// this node is one of the removers.
func (l *links) forget(p *peer) {
	l.mu.Lock()
	delete(l.peers, p.address)
	l.mu.Unlock()
	l.update(membership.Unreachable{At: time.Now(), Address: p.address})
	l.node.endpoints.Remove(p.currentEndpoint())
	l.node.log.Info("node forgotten", zap.String("node", p.member.Name), zap.Time("seen", p.lastSeen()))
	if s := l.position(); s.before < removers && !s.isolated {
		l.node.directory.removeRecord(p.member)
	}
}

// leave announces to random nodes that this node has left for good.
func (l *links) leave() {
	l.mu.Lock()
	self := l.view.Self()
	l.mu.Unlock()
	self.Gone = true
	for _, to := range l.randomLinks(l.gossipFanout(), anyPeer) {
		to.Send(&link.Frame{Records: []link.Record{self}})
	}
}
