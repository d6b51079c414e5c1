package mesh

import "github.com/cespare/xxhash/v2"

// standing is where this node stands among those that it knows.
type standing struct {
	fleet    int  // How many nodes are known, this one among them.
	before   int  // How many of them, not found unreachable, come before this one.
	isolated bool // Fewer than half of those that it dials are reached.
}

// among tells whether the node is one of the first n. One that is isolated counts on
// nobody, and takes a place whoever comes before it.
func (s standing) among(n int) bool { return s.before < n || s.isolated }

// standing returns this node's place in an order that all nodes agree on.
func (l *links) standing() standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := standing{fleet: len(l.known) + 1}
	reached := 0
	own := rank(l.node.self.Name)
	for address, m := range l.known {
		p := l.peers[address]
		up := p != nil && p.current().Reachable()
		if up {
			reached++
		}
		if (up || p == nil) && rank(m.Name) < own {
			s.before++
		}
	}
	s.isolated = 2*reached < len(l.peers)
	return s
}

// among tells whether this node is one of the first n now.
func (l *links) among(n int) bool { return l.standing().among(n) }

// rank orders nodes by chance, but everywhere alike.
func rank(name string) uint64 { return xxhash.Sum64String(name) }
