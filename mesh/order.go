package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// meetTime is how long a node that starts waits to meet the others before it
	// takes a place among them: a node that knows nobody watches the store, and when
	// a fleet starts at once, all would. Links are up within a tenth of it.
	meetTime = 1 * time.Second
	// meetPoll is the pace at which it looks.
	meetPoll = 50 * time.Millisecond
)

// meet waits until the node has read the directory and reaches most of those that
// it dials, or has run for meetTime.
func (n *Node) meet(ctx context.Context) {
	for time.Now().Before(n.settled) && ctx.Err() == nil {
		if _, isolated := n.links.order(); n.directory.wasRead.Load() && !isolated {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(meetPoll):
		}
	}
}

// fleet returns how many nodes are known, this one among them.
func (l *links) fleet() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.known) + 1
}

// among tells whether this node is one of the first n, in an order that all nodes
// agree on, of those that are known and not found unreachable. A node that reaches
// fewer than half of those that it dials is cut off, and counts on nobody.
func (l *links) among(n int) bool {
	before, isolated := l.order()
	return before < n || isolated
}

// place is how many come before this node in that order.
func (l *links) place() int {
	before, _ := l.order()
	return before
}

// order returns how many come before this node, and whether it is cut off.
func (l *links) order() (before int, isolated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reached := 0
	own := rank(l.node.self.Name)
	for address, m := range l.known {
		p := l.peers[address]
		up := p != nil && p.current().Reachable()
		if up {
			reached++
		}
		if (up || p == nil) && rank(m.Name) < own {
			before++
		}
	}
	return before, 2*reached < len(l.peers)
}

// rank orders nodes by chance, but everywhere alike.
func rank(name string) uint64 { return xxhash.Sum64String(name) }
