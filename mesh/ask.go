package mesh

import (
	"time"

	"eiderfold/link"
)

const (
	// askAfter is how long a node waits for its own watch before it asks a peer for
	// a configuration that the peer has: large ones need not come twice.
	askAfter = 250 * time.Millisecond
	// askFar is the same for a node that does not watch and a peer in another data
	// centre.
	askFar = 100 * time.Millisecond
	// askAgain is how long the asked peer has before another one is asked.
	askAgain = 300 * time.Millisecond
	// askMargin is added to askAgain before another peer is asked.
	askMargin = 10 * time.Millisecond
)

// handle takes a peer's message about its configuration and answers it.
func (c *configuration) handle(m *link.Configuration, from *link.Link) {
	version, packed := c.current()
	switch {
	case m.Want && version > m.Version:
		from.Send(&link.Frame{Configuration: &link.Configuration{Version: version, Packed: packed}})
	case len(m.Packed) > 0:
		c.takePacked(m.Packed)
	case !m.Want && m.Version > version && version == 0:
		c.request(m.Version, from)
	case !m.Want && m.Version > version:
		time.AfterFunc(c.askDelay(from), func() { c.request(m.Version, from) })
	}
}

// askDelay is how long a version is not asked for that a peer says it has: a node
// that watches may get it from the store meanwhile, any other one from a peer in
// its own data centre.
func (c *configuration) askDelay(from *link.Link) time.Duration {
	switch {
	case c.node.links.among(c.watchers):
		return jitter(askAfter)
	case c.node.links.near(from):
		return 0
	default:
		return jitter(askFar)
	}
}

// request asks a peer for a version, unless it or a newer one has come or has
// been asked for within askAgain.
func (c *configuration) request(version uint64, from *link.Link) {
	c.mu.Lock()
	now := time.Now()
	needed := version > max(c.version, c.rejected) && (version > c.asked || now.After(c.askAgain))
	if needed {
		c.asked = version
		c.askAgain = now.Add(askAgain)
	}
	held := c.version
	c.mu.Unlock()
	if !needed {
		return
	}
	from.Send(&link.Frame{Configuration: &link.Configuration{Version: held, Want: true}})
	time.AfterFunc(askAgain+askMargin, func() { c.requestElsewhere(version) })
}

// requestElsewhere asks another peer if the one that was asked has not answered:
// its link may be dead without a sign.
func (c *configuration) requestElsewhere(version uint64) {
	if held, _ := c.current(); held >= version || c.node.stopping.Load() {
		return
	}
	if to := c.node.links.any(); to != nil {
		c.request(version, to)
	}
}
