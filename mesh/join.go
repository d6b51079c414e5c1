package mesh

import (
	"context"
	"time"
)

const (
	// joinTimeout is how long a starting node waits for links to the others before it takes
	// its position among them: a node that knows no others watches the store, and when a
	// fleet starts at once, all of them would. Links are normally up within a tenth of it.
	joinTimeout = 1 * time.Second
	// joinPoll is the interval at which it checks.
	joinPoll = 50 * time.Millisecond
)

// awaitJoin waits until the node knows others from the directory and reaches most of those
// that it dials, or until joinTimeout after its start.
func (n *Node) awaitJoin(ctx context.Context) {
	for time.Now().Before(n.joinDeadline) && ctx.Err() == nil {
		if n.directory.discovered.Load() && !n.links.position().isolated {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPoll):
		}
	}
}
