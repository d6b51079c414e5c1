package mesh

import (
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

// delegationTime is how long a node watches the store at the request of another one. It is
// long enough for the requesting node to retry its own calls several times.
const delegationTime = 5 * time.Second

// delegateWatch asks random nodes to watch the store if this node, whose call to it has
// failed, is a watcher. Watchers are selected by rank and reachability from other nodes, not
// by access to the store, so no other node would take over without a request. A request is
// repeated only after the previous one has expired.
func (c *configuration) delegateWatch(now time.Time) {
	if !c.node.links.amongFirst(c.watchers) || now.Before(c.nextDelegation) {
		return
	}
	to := c.node.links.randomLinks(c.node.links.gossipFanout(), "")
	if len(to) == 0 {
		return
	}
	c.nextDelegation = now.Add(delegationTime)
	version, _ := c.current()
	m := &link.Configuration{Version: version, WatchFor: delegationTime}
	for _, l := range to {
		l.Send(&link.Frame{Configuration: m})
	}
	c.node.metrics.Add("watch_delegated", len(to))
	c.node.log.Info("watch delegated", zap.Int("nodes", len(to)))
}

// acceptDelegation makes this node watch the store until the given time, or later if another
// request lasts longer.
func (c *configuration) acceptDelegation(until time.Time) {
	c.mu.Lock()
	if until.After(c.watchUntil) {
		c.watchUntil = until
	}
	c.mu.Unlock()
	wake(c.watchRequested)
}

// delegationEnd returns when this node stops watching the store at the request of others.
func (c *configuration) delegationEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchUntil
}

// watches reports whether the node watches the store, as a watcher or at the request of one.
func (c *configuration) watches() bool {
	return c.node.links.amongFirst(c.watchers) || time.Now().Before(c.delegationEnd())
}

// nextWatchWait returns how long the next watch waits, and false if the node does not watch.
func (c *configuration) nextWatchWait(now time.Time) (time.Duration, bool) {
	s := c.node.links.position()
	if s.amongFirst(c.watchers) {
		return watchWait(now, s.before, min(s.fleet, c.watchers)), true
	}
	left := c.delegationEnd().Sub(now)
	return max(left, watchTurn/2), left > 0
}
