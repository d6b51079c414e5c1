package mesh

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
	s := standing{fleet: l.view.Fleet(), before: l.view.Before()}
	reached := 0
	for address, p := range l.peers {
		switch {
		case p.current().Reachable():
			reached++
		case l.view.Precedes(address):
			s.before--
		}
	}
	s.isolated = 2*reached < len(l.peers)
	return s
}

// comesBefore tells whether fewer than n of the known nodes come before this one, whether
// they are reached or not: at a start none is.
func (l *links) comesBefore(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Before() < n
}

// among tells whether this node is one of the first n now.
func (l *links) among(n int) bool { return l.standing().among(n) }
