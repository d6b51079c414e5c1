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
	// A node keeps links to so many gates of each service in its own data centre, and
	// in the others. Two dozen are enough to choose from; more would make the cost
	// of a node grow with the fleet.
	nearLinks = 24
	farLinks  = 24
	// removers is how many nodes remove the records of those that they forget: more than
	// one, as no node dials all others.
	removers = 3
	// newsMargin is how many nodes hear of news above ln(n): one in a hundred
	// newcomers is missed by some node, which finds it when it compares with another.
	newsMargin = 4
	// newsAfter is how long after its start a node passes on no news.
	newsAfter = 3 * time.Second
	// packedFrom is from how many records on they are sent compressed.
	packedFrom = 8
)

// learn takes note of nodes that the store or another node tells of. One that is said to be
// gone and that this node reaches is told so instead, and will say that it is there.
func (l *links) learn(records ...link.Record) {
	believed := make([]link.Record, 0, len(records))
	for _, r := range records {
		if r.Gone {
			if way := l.wayTo(r.Address); way != nil {
				way.Send(&link.Frame{Records: []link.Record{r}})
				continue
			}
		}
		believed = append(believed, r)
	}
	l.update(membership.Heard{At: time.Now(), Records: believed})
}

// update moves the view on and carries out what follows, but for what is for one node only.
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
			l.retire(c.Address)
		case membership.News:
			l.note(c.Records)
		case membership.Refute:
			l.born.Store(l.view.Self().Version)
			go l.node.directory.restore()
		case membership.Compare:
			compare = &c
		default:
			forSender = append(forSender, c)
		}
	}
	if l.view.Fleet() != fleet {
		l.reached.Add(1)
		l.node.budget.NoteGates(l.view.Gates(l.node.self.Service))
		l.node.budget.NotePlace(l.view.Place())
	}
	l.mu.Unlock()
	if compare != nil {
		l.compare(compare)
	}
	return forSender
}

// note keeps news to be passed on, with the lock held. A newcomer dials some nodes only, and
// the others must know of it too: nodes that know different members take different ones for
// an account's home. A node that has just started passes nothing on: it has met the whole
// fleet, which knows itself.
func (l *links) note(news []link.Record) {
	if time.Now().After(l.node.settled.Add(newsAfter)) {
		l.news = append(l.news, news...)
	}
}

// spread passes news on to some nodes of the own data centre, drawn by chance. A newcomer
// dials some nodes in each of the others, which do the same there: so little of it crosses
// between data centres, where bytes are dear.
func (l *links) spread() {
	l.mu.Lock()
	news := l.news
	l.news = nil
	l.mu.Unlock()
	if len(news) == 0 {
		return
	}
	left := l.audience()
	for _, p := range l.shuffled() {
		if left == 0 {
			return
		}
		if way := p.way(); way != nil && l.isNear(p.current().Member()) {
			sendRecords(way, news)
			left--
		}
	}
}

// audience is to how many nodes, drawn by chance, news is passed on so that all hear of it:
// with ln(n) + c of them, e^-c nodes of the whole fleet are left out.
func (l *links) audience() int {
	return int(math.Ceil(math.Log(float64(l.fleetSize()+1)))) + newsMargin
}

func (l *links) isNear(m link.Member) bool { return m.DataCentre == l.node.self.DataCentre }

// compare sends the sums of what is known to some node, which answers where it differs.
func (l *links) compare(c *membership.Compare) {
	var any *link.Link
	for _, p := range l.shuffled() {
		way := p.way()
		if way == nil {
			continue
		}
		any = way
		if l.isNear(p.current().Member()) != c.Far {
			break
		}
	}
	if any != nil {
		any.Send(&link.Frame{Digest: &link.Digest{Sums: c.Sums}})
	}
}

// heardRecords takes what another node says of nodes.
func (l *links) heardRecords(f *link.Frame) {
	records := f.Records
	if len(f.Packed) > 0 {
		text, err := unpack(f.Packed)
		if err == nil {
			err = cbor.Unmarshal(text, &records)
		}
		if err != nil {
			l.node.metrics.Count("records_unreadable")
			l.node.log.Warn("records of a peer cannot be read", zap.Error(err))
			return
		}
	}
	l.learn(records...)
}

// heardDigest takes another node's sums, and answers where they differ.
func (l *links) heardDigest(from *link.Link, d *link.Digest) {
	for _, c := range l.update(membership.Compared{At: time.Now(), Sums: d.Sums, Answer: d.Answer}) {
		switch c := c.(type) {
		case membership.Reply:
			sendRecords(from, c.Records)
		case membership.Answer:
			from.Send(&link.Frame{Digest: &link.Digest{Sums: c.Sums, Answer: true}})
		}
	}
}

// sendRecords sends records, compressed where there are many.
func sendRecords(to *link.Link, records []link.Record) {
	if len(records) < packedFrom {
		to.Send(&link.Frame{Records: records})
		return
	}
	text, err := cbor.Marshal(records)
	if err != nil {
		return // Records are texts and numbers, which can be encoded.
	}
	to.Send(&link.Frame{Packed: pack(text)})
}

// add begins to dial a node, with the lock held. One that is about to be dropped is kept.
func (l *links) add(m link.Member) {
	if p := l.peers[m.Address]; p != nil {
		l.keep(p)
		return
	}
	p := newPeer(l, m)
	l.peers[m.Address] = p
	l.node.targets.Add(p.target)
	l.node.log.Info("node learned", zap.String("node", m.Name), zap.String("service", m.Service), zap.String("address", m.Address))
	go p.run()
}

// retire gives a link up once no work is on it, with the lock held: until then nothing new
// is offered over it.
func (l *links) retire(address string) {
	if p := l.peers[address]; p != nil {
		p.retired.Store(true)
		l.node.targets.Remove(p.current())
	}
}

// keep takes back that a link is given up, with the lock held.
func (l *links) keep(p *peer) {
	if p.retired.Swap(false) {
		l.node.targets.Add(p.current())
	}
}

// end ends a link that was given up and has no work any more.
func (l *links) end(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.retired.Load() && !p.current().Busy() {
		delete(l.peers, p.address)
		l.reached.Add(1)
		p.close()
	}
}

// forget takes a node for gone that has been away for long, and removes its record if this
// node is one of the few that see to that.
func (l *links) forget(p *peer) {
	l.mu.Lock()
	delete(l.peers, p.address)
	l.mu.Unlock()
	l.update(membership.Unreachable{At: time.Now(), Address: p.address})
	l.node.targets.Remove(p.current())
	l.node.log.Info("node forgotten", zap.String("node", p.member.Name), zap.Time("seen", p.lastSeen()))
	if s := l.standing(); s.before < removers && !s.isolated {
		l.node.directory.drop(p.member)
	}
}

// leave tells others that this node ends for good.
func (l *links) leave() {
	l.mu.Lock()
	self := l.view.Self()
	l.mu.Unlock()
	self.Gone = true
	for _, to := range l.some(l.audience(), "") {
		to.Send(&link.Frame{Records: []link.Record{self}})
	}
}
