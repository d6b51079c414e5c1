package ingress

import (
	"context"
	"time"
)

// startupWait is how long a request waits for a node's first configuration. A starting node gets it
// from the store or a peer within some round trips.
const startupWait = 200 * time.Millisecond

// awaitTable waits until there is a configuration, and reports whether there is one. While the
// whole fleet restarts, no other node could serve a caller that is refused at once.
func (f *Forwarder) awaitTable(ctx context.Context, arrived time.Time) bool {
	if f.table.Load() != nil {
		return true
	}
	wait, cancel := context.WithDeadline(ctx, arrived.Add(startupWait))
	defer cancel()
	select {
	case <-f.configured:
		return true
	case <-wait.Done():
		return f.table.Load() != nil
	}
}
