package mesh

import (
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

// Nodes that watch the store send heartbeats. The others would otherwise notice only by their links
// that no watcher is left, and an idle link is pinged after idlePingAfter.

const (
	// heartbeatMargin is added to two turns of watchers for the way of a heartbeat.
	heartbeatMargin = 100 * time.Millisecond
	// heartbeatEvery is the shortest interval between heartbeats, as a change of the configuration
	// ends all watches at once.
	heartbeatEvery = watchTurn / 2
	// maxHeartbeatSenders bounds how many watchers are remembered; more than watchers and their
	// delegates are rare.
	maxHeartbeatSenders = 256
)

// heartbeats is what a node knows of the watchers' heartbeats. The lock of configuration guards it.
type heartbeats struct {
	last        time.Time         // When the node last sent or received one, or started.
	lastReached time.Time         // The same for those of nodes that reach the store.
	sequence    uint64            // Of the last one that it sent.
	received    map[uint64]uint64 // The highest sequence by the sender's process.
}

// note records a heartbeat that is sent or received now.
func (h *heartbeats) note(reached bool, now time.Time) {
	h.last = now
	if reached {
		h.lastReached = now
	}
}

// sendHeartbeat tells all linked nodes that this one watches the store, and whether it reaches it,
// unless there has just been another such heartbeat.
func (c *configuration) sendHeartbeat(reached bool) {
	now := time.Now()
	c.mu.Lock()
	last := c.heartbeats.last
	if reached {
		last = c.heartbeats.lastReached
	}
	due := now.Sub(last) >= heartbeatEvery
	if due {
		c.heartbeats.note(reached, now)
		c.heartbeats.sequence++
	}
	h := &link.Heartbeat{Process: c.node.process, Sequence: c.heartbeats.sequence, Unreached: !reached}
	m := &link.Configuration{Version: c.version, Heartbeat: h}
	c.mu.Unlock()
	if due {
		c.passHeartbeat(c.node.links.allLinks(), m)
	}
}

// noteHeartbeat records a heartbeat. Where nodes do not dial all others, it passes a new one on to
// random ones of the own data centre.
func (c *configuration) noteHeartbeat(h *link.Heartbeat) {
	c.mu.Lock()
	known := c.heartbeats.received[h.Process] >= h.Sequence
	if !known {
		if c.heartbeats.received == nil || len(c.heartbeats.received) >= maxHeartbeatSenders {
			c.heartbeats.received = map[uint64]uint64{}
		}
		c.heartbeats.received[h.Process] = h.Sequence
		c.heartbeats.note(!h.Unreached, time.Now())
	}
	m := &link.Configuration{Version: c.version, Heartbeat: h}
	c.mu.Unlock()
	if !known && !c.node.links.dialsAll() {
		c.passHeartbeat(c.node.links.randomLinks(c.node.links.gossipFanout(), c.node.links.nearPeer), m)
	}
}

func (c *configuration) passHeartbeat(to []*link.Link, m *link.Configuration) {
	for _, l := range to {
		l.Send(&link.Frame{Configuration: m})
	}
}

// heartbeatTimeout is how long a node that does not watch waits for the heartbeat of any watcher
// before it watches the store itself. A single missing watcher is no reason.
func (c *configuration) heartbeatTimeout() time.Duration {
	return 2*watchRound(c.watchers)/time.Duration(c.watchers) + heartbeatMargin
}

// watchUnlessWatched makes this node watch the store for delegationTime if it has heard no watcher
// for heartbeatTimeout.
func (c *configuration) watchUnlessWatched(now time.Time) {
	c.mu.Lock()
	silent := now.Sub(c.heartbeats.last)
	if silent < c.heartbeatTimeout() {
		c.mu.Unlock()
		return
	}
	c.heartbeats.last = now
	c.delegation.watchUntil = now.Add(delegationTime)
	c.mu.Unlock()
	c.node.metrics.Count("watch_without_heartbeat")
	c.node.log.Info("no watcher heard, watching the store", zap.Duration("silent", silent))
}
