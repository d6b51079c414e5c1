package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/port"
)

const (
	// A watch may silently miss changes until its wait is over. Watching nodes therefore
	// end their waits in turn, one every watchTurn, and pass on what they find, well within
	// the two seconds that a configuration has to spread. minWatchRound is the shortest
	// round, for fleets of a few nodes.
	watchTurn     = 600 * time.Millisecond
	minWatchRound = 1 * time.Second
	// watchers is how many nodes of a fleet watch the store. The others receive changes
	// from them, so that the store's load does not grow with the fleet: each change wakes
	// every watch, and calls cost money. This many survive the loss of a data centre while
	// the store refuses a third of the calls.
	watchers = 12
	// pollEvery is how often a node that does not watch reads the key, in case no peer ever
	// sends it a change. In a fleet of more than pollFleetSize nodes it reads less often,
	// so that the total load on the store stays the same.
	pollEvery     = 30 * time.Second
	pollFleetSize = 100
	// peersTimeout is how long a starting node waits for peers to send a configuration
	// before it reads a possibly stale one. Meanwhile it refuses its callers.
	peersTimeout = 300 * time.Millisecond
	// watcherCheckEvery is the interval at which a node that does not watch checks whether
	// it has to start watching.
	watcherCheckEvery = 250 * time.Millisecond
	// watchRetry is the pause after a failed read or watch, doubled up to watchRetryMax:
	// the store charges for refused calls too, and peers send changes meanwhile.
	watchRetry    = 300 * time.Millisecond
	watchRetryMax = 1200 * time.Millisecond
)

// run follows the operator state until ctx ends.
func (c *configuration) run(ctx context.Context) {
	pause := backoff{min: watchRetry, max: watchRetryMax}
	at := c.initialRead(ctx)
	c.node.awaitJoin(ctx)
	c.node.endpoints.SetJoined()
	if version, _ := c.current(); version > 0 && !c.watches() {
		c.awaitPoll(ctx)
	}
	for ctx.Err() == nil {
		err := c.follow(ctx, &pause, at)
		at = port.StoreRevision{}
		if err != nil && ctx.Err() == nil {
			if c.watches() {
				c.sendHeartbeat(false)
			}
			c.node.log.Info("configuration not followed", zap.Error(err))
			c.dropDelegation()
			c.delegateWatch(time.Now())
			c.awaitRetry(ctx, &pause)
		}
	}
}

// awaitRetry waits after a failed call until the next one. A node that does not watch waits as
// long as between two polls, since the store would otherwise get the calls of a whole fleet again
// and again during an outage.
func (c *configuration) awaitRetry(ctx context.Context, pause *backoff) {
	if version, _ := c.current(); version > 0 && !c.watches() {
		c.awaitPoll(ctx)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause.next()):
	}
}

// follow reads the operator state and watches it until a call fails or this node no longer
// watches. Compacted history is not an error: follow returns to read everything again. One
// watch covers the configuration and the evacuated data centres, because a waiting watch
// costs money. If at is set, state up to that revision is not read again.
func (c *configuration) follow(ctx context.Context, pause *backoff, at port.StoreRevision) error {
	store, operator := c.node.platform.Store, c.node.platform.OperatorPrefix
	if at.Revision == 0 {
		entries, read, err := c.read(ctx)
		if err != nil {
			return err
		}
		at = read
		c.node.applyOperatorEntries(entries, at)
	}
	c.confirmDelegation()
	pause.reset()
	for {
		wait, ok := c.nextWatchWait(time.Now())
		if !ok {
			c.awaitPoll(ctx)
			return nil
		}
		c.sendHeartbeat(true)
		events, next, err := store.Watch(ctx, operator, at, wait)
		if errors.Is(err, port.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		at = next
		c.node.applyOperatorEvents(events, at)
		c.confirmDelegation()
		c.sendHeartbeat(true) // Also if it no longer watches, as the node that takes over may only be starting.
	}
}

// initialRead obtains a configuration after the start. A node ranked among the watchers by
// the directory reads it at once, before it has any links; the others receive it as their
// links come up. So a fleet that starts at once refuses callers no longer than it takes to
// set up links, and not every node reads the store. It returns the revision from which a
// watch can continue, zero if there is none.
func (c *configuration) initialRead(ctx context.Context) port.StoreRevision {
	until := time.Now().Add(peersTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		if version, _ := c.current(); version > 0 {
			return port.StoreRevision{}
		}
		if c.node.directory.discovered.Load() && c.node.links.rankedAmong(c.watchers) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(loadPoll):
		}
	}
	return c.readOnce(ctx)
}

// readOnce reads the operator state once. If the read fails, follow repeats it. A possibly
// stale read gives no revision to start a watch from.
func (c *configuration) readOnce(ctx context.Context) port.StoreRevision {
	first := c.node.links.rankedAmong(c.watchers)
	entries, at, err := c.readAs(ctx, first)
	if err != nil {
		c.node.log.Info("configuration not read", zap.Error(err))
		return port.StoreRevision{}
	}
	c.node.applyOperatorEntries(entries, at)
	if !first {
		return port.StoreRevision{}
	}
	return at
}

// read reads the operator state. For a node that receives changes from its peers a stale
// read is enough, as it only looks for changes missed long ago.
func (c *configuration) read(ctx context.Context) ([]port.Entry, port.StoreRevision, error) {
	return c.readAs(ctx, c.watches())
}

// readAs reads the current operator state for a node that watches, and a possibly stale one
// otherwise.
func (c *configuration) readAs(ctx context.Context, watches bool) ([]port.Entry, port.StoreRevision, error) {
	store, operator := c.node.platform.Store, c.node.platform.OperatorPrefix
	if watches {
		return store.Range(ctx, operator)
	}
	return store.StaleRange(ctx, operator)
}

// awaitPoll waits, without calls to the store, until the next poll is due or the node has
// become a watcher, been asked to watch, or heard no watcher for too long.
func (c *configuration) awaitPoll(ctx context.Context) {
	until := time.Now().Add(jitter(pollPause(c.node.links.fleetSize())))
	for time.Now().Before(until) && !c.watches() {
		select {
		case <-ctx.Done():
			return
		case <-c.watchRequested:
		case <-time.After(watcherCheckEvery):
			c.watchUnlessWatched(time.Now())
		}
	}
}

// pollPause returns the pause between two reads of a node that does not watch.
func pollPause(fleet int) time.Duration {
	return pollEvery * time.Duration(max(fleet, pollFleetSize)) / pollFleetSize
}

// watchWait returns how long a watch that starts now waits, on the node at a position among
// the watchers: until the node's next turn by the wall clock. Clock skew only shifts the
// turns.
func watchWait(now time.Time, rank, count int) time.Duration {
	round := watchRound(count)
	turn := round * time.Duration(min(rank, count-1)) / time.Duration(count)
	wait := (turn - time.Duration(now.UnixNano()%int64(round)) + round) % round
	if wait < watchTurn/2 {
		wait += round
	}
	return wait
}

// watchRound returns the time in which each watching node has one turn.
func watchRound(count int) time.Duration {
	return max(time.Duration(count)*watchTurn, minWatchRound)
}
