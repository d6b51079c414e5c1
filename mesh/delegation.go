package mesh

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

const (
	// delegationTime is how long a node watches the store at the request of another one. It is
	// long enough for the requesting node to retry its own calls several times.
	delegationTime = 5 * time.Second
	// confirmTimeout is how long the nodes that were asked may take to confirm that they reach
	// the store, before all linked nodes are asked.
	confirmTimeout = 300 * time.Millisecond
	// broadDelegationTime is how long a node tries at such a request, unless it reaches the store:
	// for one call, as many nodes are asked.
	broadDelegationTime = 1 * time.Second
	// delegateWait is the longest wait of a watch at the request of others: two heartbeats of the
	// delegate are less than heartbeatTimeout apart.
	delegateWait = 2 * watchTurn
	// The pause between two requests to all linked nodes grows from broadPauseMin to
	// broadPauseMax while no node confirms: the store may be down for hours.
	broadPauseMin = delegationTime
	broadPauseMax = 2 * time.Minute
)

// delegation is the state of requests to watch the store for others, in both directions. The
// lock of configuration guards it, except for what only run uses.
type delegation struct {
	next        time.Time    // When this node may next ask others to watch; accessed by run only.
	nextSilent  time.Time    // The same while it hears of no node that reaches the store.
	silentPause backoff      // Pause until nextSilent; accessed by run only.
	delegates   []*link.Link // Nodes that confirmed the last request.
	confirmedAt time.Time    // When one last confirmed.
	nextBroad   time.Time    // When all linked nodes may be asked.
	broadPause  backoff
	watchUntil  time.Time    // When this node stops watching at the request of others.
	askedBy     []*link.Link // Nodes to which it has not confirmed yet.
	nextTry     time.Time    // When it may follow a request to all linked nodes again.
}

// delegateWatch asks other nodes to watch the store if this node, whose call to it has failed, is
// a watcher. Watchers are selected by rank and reachability from other nodes, not by access to
// the store, so no other node would take over without a request. A request goes to those that
// confirmed the last one and to random nodes. It is repeated after the previous one has expired, or
// sooner if nobody is heard that reaches the store, as the delegates may have ended. If none
// confirms, hardly any node may be left that reaches the store, and all linked nodes are asked.
func (c *configuration) delegateWatch(now time.Time) {
	if !c.node.links.amongFirst(c.watchers) || !c.mayDelegate(now) {
		return
	}
	c.delegation.next = now.Add(delegationTime)
	c.delegation.nextSilent = now.Add(c.delegation.silentPause.next())
	c.requestWatch(c.chooseDelegates(), delegationTime)
	time.AfterFunc(confirmTimeout, func() { c.delegateBroadly(now) })
}

// mayDelegate reports whether this node may ask others to watch now.
func (c *configuration) mayDelegate(now time.Time) bool {
	c.mu.Lock()
	silent := now.Sub(c.heartbeats.lastReached) >= c.heartbeatTimeout()
	c.mu.Unlock()
	if !silent {
		c.delegation.silentPause.reset()
		return !now.Before(c.delegation.next)
	}
	return !now.Before(c.delegation.nextSilent)
}

// chooseDelegates returns links to the nodes that confirmed the last request, and to random ones.
func (c *configuration) chooseDelegates() []*link.Link {
	c.mu.Lock()
	to := c.delegation.delegates
	c.delegation.delegates = nil
	c.mu.Unlock()
	for _, l := range c.node.links.randomLinks(c.node.links.gossipFanout(), anyPeer) {
		if !slices.Contains(to, l) {
			to = append(to, l)
		}
	}
	return to
}

// delegateBroadly asks all linked nodes to watch, unless a node has confirmed since asked.
func (c *configuration) delegateBroadly(asked time.Time) {
	now := time.Now()
	c.mu.Lock()
	due := c.delegation.confirmedAt.Before(asked) && !now.Before(c.delegation.nextBroad)
	if due {
		c.delegation.nextBroad = now.Add(c.delegation.broadPause.next())
	}
	c.mu.Unlock()
	if due {
		c.requestWatch(c.node.links.allLinks(), broadDelegationTime)
	}
}

// requestWatch asks nodes to watch the store for some time.
func (c *configuration) requestWatch(to []*link.Link, length time.Duration) {
	version, _ := c.current()
	m := &link.Configuration{Version: version, WatchFor: length}
	for _, l := range to {
		l.Send(&link.Frame{Configuration: m})
	}
	c.node.metrics.Add("watch_delegated", len(to))
	c.node.log.Info("watch delegated", zap.Int("nodes", len(to)))
}

// acceptDelegation makes this node watch the store for the given time, or longer if another
// request lasts longer. A request to all linked nodes is followed once in delegationTime, however
// many nodes send it.
func (c *configuration) acceptDelegation(from *link.Link, length time.Duration) {
	now := time.Now()
	until := now.Add(min(length, delegationTime))
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &c.delegation
	if length <= broadDelegationTime {
		if now.Before(d.nextTry) {
			return
		}
		d.nextTry = now.Add(delegationTime)
	}
	if until.After(d.watchUntil) {
		d.watchUntil = until
	}
	if !slices.Contains(d.askedBy, from) {
		d.askedBy = append(d.askedBy, from)
	}
	wake(c.watchRequested)
}

// confirmDelegation tells the nodes that asked this one to watch that it reaches the store, and
// then watches for delegationTime.
func (c *configuration) confirmDelegation() {
	version, _ := c.current()
	c.mu.Lock()
	askedBy := c.delegation.askedBy
	c.delegation.askedBy = nil
	if len(askedBy) > 0 {
		c.delegation.watchUntil = time.Now().Add(delegationTime)
	}
	c.mu.Unlock()
	for _, l := range askedBy {
		l.Send(&link.Frame{Configuration: &link.Configuration{Version: version, Watching: true}})
	}
}

// dropDelegation forgets who asked this node to watch, as its call to the store has failed.
func (c *configuration) dropDelegation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delegation.askedBy = nil
}

// noteDelegate records that a node that was asked to watch reaches the store.
func (c *configuration) noteDelegate(from *link.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &c.delegation
	d.confirmedAt = time.Now()
	d.broadPause.reset()
	if !slices.Contains(d.delegates, from) {
		d.delegates = append(d.delegates, from)
	}
}

// delegationEnd returns when this node stops watching the store at the request of others.
func (c *configuration) delegationEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delegation.watchUntil
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
	return min(max(left, watchTurn/2), delegateWait), left > 0
}
