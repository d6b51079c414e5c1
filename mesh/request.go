package mesh

import (
	"time"

	"eiderfold/link"
)

const (
	// watcherRequestDelay is how long a watching node waits for its own watch before it
	// requests a configuration from a peer, so that a large one is not sent twice.
	watcherRequestDelay = 250 * time.Millisecond
	// farRequestDelay is the same for a node that does not watch and a peer in another data
	// centre.
	farRequestDelay = 100 * time.Millisecond
	// requestTimeout is how long a peer has to send the configuration before another one is
	// asked.
	requestTimeout = 300 * time.Millisecond
	// requestMargin is added to requestTimeout before another peer is asked.
	requestMargin = 10 * time.Millisecond
)

// handle processes a peer's message about its configuration and answers it.
func (c *configuration) handle(m *link.Configuration, from *link.Link) {
	if m.WatchFor > 0 {
		c.acceptDelegation(from, m.WatchFor)
	}
	if m.Watching {
		c.noteDelegate(from)
	}
	if m.Heartbeat != nil {
		c.noteHeartbeat(m.Heartbeat)
	}
	version, packed := c.current()
	switch {
	case m.Want && version > m.Version:
		from.Send(&link.Frame{Configuration: &link.Configuration{Version: version, Packed: packed}})
	case len(m.Packed) > 0:
		go c.applyPacked(m.Packed) // Decoding a large one takes long; answers may follow it on the link.
	case !m.Want && m.Version > version && version == 0:
		c.request(m.Version, from)
	case !m.Want && m.Version > version:
		time.AfterFunc(c.requestDelay(from), func() { c.request(m.Version, from) })
	}
}

// requestDelay returns how long to wait before requesting a version that a peer has
// announced: a watching node may read it from the store meanwhile, any other node may get
// it from a peer in its own data centre.
func (c *configuration) requestDelay(from *link.Link) time.Duration {
	switch {
	case c.watches():
		return jitter(watcherRequestDelay)
	case c.node.links.near(from):
		return 0
	default:
		return jitter(farRequestDelay)
	}
}

// request asks a peer for a version, unless this or a newer one is present or was requested
// within requestTimeout.
func (c *configuration) request(version uint64, from *link.Link) {
	c.mu.Lock()
	now := time.Now()
	needed := version > max(c.version, c.rejected) && (version > c.requested || now.After(c.requestExpires))
	if needed {
		c.requested = version
		c.requestExpires = now.Add(requestTimeout)
	}
	current := c.version
	c.mu.Unlock()
	if !needed {
		return
	}
	from.Send(&link.Frame{Configuration: &link.Configuration{Version: current, Want: true}})
	time.AfterFunc(requestTimeout+requestMargin, func() { c.requestElsewhere(version) })
}

// requestElsewhere asks another peer if the first one has not answered: its link may be
// broken without an error.
func (c *configuration) requestElsewhere(version uint64) {
	if current, _ := c.current(); current >= version || c.node.stopping.Load() {
		return
	}
	if to := c.node.links.randomLink(); to != nil {
		c.request(version, to)
	}
}
