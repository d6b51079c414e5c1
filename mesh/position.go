package mesh

// position is this node's position in an order of all known nodes.
type position struct {
	fleet    int  // Number of known nodes, including this one.
	before   int  // Number of nodes, not known to be unreachable, that precede this one.
	isolated bool // Fewer than half of the dialed nodes are reachable.
}

// amongFirst reports whether the node is one of the first n. An isolated node always is, as
// it can rely on no other.
func (s position) amongFirst(n int) bool { return s.before < n || s.isolated }

// position returns this node's position in an order on which all nodes agree.
func (l *links) position() position {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := position{fleet: l.view.Fleet(), before: l.view.RankedBefore()}
	reached := 0
	for address, p := range l.peers {
		switch {
		case p.currentEndpoint().Reachable():
			reached++
		case l.view.Precedes(address):
			s.before--
		}
	}
	s.isolated = 2*reached < len(l.peers)
	return s
}

// rankedAmong reports whether fewer than n known nodes precede this one, reachable or not:
// at the start none is reachable yet.
func (l *links) rankedAmong(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.RankedBefore() < n
}

// amongFirst reports whether this node is currently one of the first n.
func (l *links) amongFirst(n int) bool { return l.position().amongFirst(n) }
