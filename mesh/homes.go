package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"eiderfold/link"
	"eiderfold/membership"
	"eiderfold/quota"
)

const (
	// probeTimeout is how long others may take to report whether they reach a node: a ping
	// and its reply each way between data centres take 6 ms.
	probeTimeout = 40 * time.Millisecond
	// pingTimeout is how long the probed node may take to answer a ping.
	pingTimeout = 30 * time.Millisecond
	// probePoll is the interval of checks for the ping reply.
	probePoll = 5 * time.Millisecond
	// probeCount is how many other nodes are asked.
	probeCount = 5
)

// fleetView adapts links to the interface that package quota needs.
type fleetView struct{ *links }

var _ quota.Fleet = fleetView{}

// Self implements quota.Fleet.
func (v fleetView) Self() string { return v.node.self.Address }

// Changed implements quota.Fleet.
func (v fleetView) Changed() uint64 { return v.changes.Load() }

// First implements quota.Fleet by rendezvous hashing.
func (v fleetView) First(account string, without map[string]bool) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	best := v.node.self.Address
	most := homeRank(account, v.node.self.Name)
	v.view.Each(func(m link.Member) {
		if rank := homeRank(account, m.Name); rank > most && !without[m.Address] {
			best, most = m.Address, rank
		}
	})
	return best
}

func homeRank(account, node string) uint64 { return xxhash.Sum64String(account + " " + node) }

// Complete implements quota.Fleet. The directory shows the fleet; while the store is out, other nodes do.
func (v fleetView) Complete() bool {
	toldBy := v.node.limits.toldBy.Load()
	return v.node.directory.discovered.Load() || toldBy != nil && !time.Now().Before(*toldBy)
}

// Known implements quota.Fleet.
func (v fleetView) Known(node string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.view.Member(node)
	return ok
}

// Linked implements quota.Fleet.
func (v fleetView) Linked(node string) (bool, time.Time) {
	to := v.linkTo(node)
	if to == nil {
		return false, time.Time{}
	}
	return true, to.LastPong()
}

// Dial implements quota.Fleet.
func (v fleetView) Dial(node string) bool {
	v.mu.Lock()
	_, known := v.view.Member(node)
	dialed := v.peers[node] != nil
	v.mu.Unlock()
	if !known || dialed {
		return false
	}
	v.update(membership.Needed{At: time.Now(), Address: node})
	return true
}

// Ping implements quota.Fleet.
func (v fleetView) Ping(node string) {
	if to := v.linkTo(node); to != nil {
		to.Ping()
	}
}

// Probe implements quota.Fleet.
func (v fleetView) Probe(node string) {
	for _, through := range v.randomLinks(probeCount, exceptAddress(node)) {
		through.Send(&link.Frame{LimitProbe: &link.LimitProbe{Address: node}})
	}
	limits := v.node.limits
	time.AfterFunc(probeTimeout, func() { limits.probeEnded(node) })
}

// probeEnded ends the time in which others may answer a probe.
func (l *limits) probeEnded(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.homes.ProbeEnded(node, time.Now())
}

// handleReached processes another node's report on whether it reaches the probed node.
func (l *limits) handleReached(via string, m *link.LimitProbeReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.homes.Reached(m.Address, via, m.Reached)
}

// handleProbe checks on behalf of another node whether this one reaches a third.
func (l *limits) handleProbe(from *link.Link, m *link.LimitProbe) {
	reached := l.answersPing(m.Address)
	from.Send(&link.Frame{LimitProbeReply: &link.LimitProbeReply{Address: m.Address, Reached: reached}})
}

// answersPing reports whether a node answers a ping within pingTimeout.
func (l *limits) answersPing(address string) bool {
	to := l.node.links.linkTo(address)
	if to == nil {
		return false
	}
	sent := time.Now()
	to.Ping()
	for time.Since(sent) < pingTimeout {
		time.Sleep(probePoll)
		if to.LastPong().After(sent) {
			return true
		}
	}
	return false
}

// linkTo returns the dialed link to a node, nil if there is none.
func (l *links) linkTo(address string) *link.Link {
	l.mu.Lock()
	p := l.peers[address]
	l.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.currentLink()
}

// shuffled returns the peers in random order.
func (l *links) shuffled() []*peer {
	peers := l.all()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// randomLinks returns links to at most count random nodes for which eligible is true.
func (l *links) randomLinks(count int, eligible func(*peer) bool) []*link.Link {
	var out []*link.Link
	for _, p := range l.shuffled() {
		if len(out) == count {
			break
		}
		if to := p.currentLink(); to != nil && eligible(p) {
			out = append(out, to)
		}
	}
	return out
}

// anyPeer makes every node eligible.
func anyPeer(*peer) bool { return true }

// exceptAddress makes every node eligible but the one at an address.
func exceptAddress(address string) func(*peer) bool {
	return func(p *peer) bool { return p.address != address }
}

// fleetSize returns the number of known nodes, including this one.
func (l *links) fleetSize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Fleet()
}

// reachableShare pings random nodes and returns the share of them, including this node,
// that answered within the given time.
func (l *links) reachableShare(count int, within time.Duration) float64 {
	peers := l.shuffled()
	peers = peers[:min(count, len(peers))]
	sent := time.Now()
	for _, p := range peers {
		if to := p.currentLink(); to != nil {
			to.Ping()
		}
	}
	time.Sleep(within)
	answered := 1
	for _, p := range peers {
		if to := p.currentLink(); to != nil && to.LastPong().After(sent) {
			answered++
		}
	}
	return float64(answered) / float64(len(peers)+1)
}
