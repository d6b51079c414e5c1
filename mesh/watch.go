package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/port"
)

const (
	// A watch may go deaf without a sign until its wait is over. So those that watch
	// end their waits in turn, one each watchPerNode, and pass on what they find: well
	// within the two seconds that a configuration has. A wait is watchLeast at least,
	// for fleets of a few nodes.
	watchPerNode = 600 * time.Millisecond
	watchLeast   = 1 * time.Second
	// watchers is how many nodes of a fleet watch the store. The others hear of a
	// change from them, so that the store's work does not grow with the fleet: each
	// change wakes every watch, and calls are paid for. Any few of them would do; this
	// many outlast a data centre that is cut off while the store turns a third away.
	watchers = 12
	// unwatchedRead is how often a node that does not watch reads the key, should
	// no word ever reach it. In a fleet of more than unwatchedFleet nodes it does so less
	// often, so that the store's work for all of them stays the same.
	unwatchedRead  = 30 * time.Second
	unwatchedFleet = 100
	// peersTime is how long a node that starts waits for others to tell of a configuration
	// before it reads one that may be seconds old: meanwhile it refuses its callers.
	peersTime = 300 * time.Millisecond
	// watchCheck is the pace at which a node that does not watch looks whether it
	// has to begin.
	watchCheck = 250 * time.Millisecond
	// watchRetry is the pause after a failed read or watch, doubled up to
	// watchRetryMost: a call that the store turns away is paid for like any other, and
	// peers tell of changes meanwhile.
	watchRetry     = 300 * time.Millisecond
	watchRetryMost = 1200 * time.Millisecond
)

// run follows what operators write until ctx ends.
func (c *configuration) run(ctx context.Context) {
	pause := backoff{least: watchRetry, most: watchRetryMost}
	at := c.begin(ctx)
	c.node.meet(ctx)
	c.node.targets.SetMet()
	if version, _ := c.current(); version > 0 && !c.node.links.among(c.watchers) {
		c.rest(ctx)
	}
	for ctx.Err() == nil {
		err := c.follow(ctx, &pause, at)
		at = port.Moment{}
		if err != nil && ctx.Err() == nil {
			c.node.log.Info("configuration not followed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(pause.next()):
			}
		}
	}
}

// follow reads what operators have written and watches it until something fails. Lost
// history is no failure: all is read again. One watch tells of the configuration and of
// data centres to be evacuated, as a waiting watch is paid for.
// What was read up to a moment, if any, is not read again.
func (c *configuration) follow(ctx context.Context, pause *backoff, at port.Moment) error {
	store, operator := c.node.platform.Store, c.node.platform.OperatorPrefix
	if at.Revision == 0 {
		entries, read, err := c.read(ctx)
		if err != nil {
			return err
		}
		at = read
		c.node.readOperator(entries, at)
	}
	pause.reset()
	for {
		s := c.node.links.standing()
		if !s.among(c.watchers) {
			c.rest(ctx)
			return nil
		}
		wait := watchWait(time.Now(), s.before, min(s.fleet, c.watchers))
		events, next, err := store.Watch(ctx, operator, at, wait)
		if errors.Is(err, port.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		at = next
		c.node.hearOperator(events, at)
	}
}

// begin sees to a configuration after the start: one of the nodes that come first among
// those in the directory reads it at once, before it has met anybody, and the others hear
// of it as their links come up. So a fleet that starts at once refuses callers for no longer
// than it takes to make links, and its store is not read by all. It returns the moment up to
// which a watch need not read again, if there is one.
func (c *configuration) begin(ctx context.Context) port.Moment {
	until := time.Now().Add(peersTime)
	for time.Now().Before(until) && ctx.Err() == nil {
		if version, _ := c.current(); version > 0 {
			return port.Moment{}
		}
		if c.node.directory.acquainted.Load() && c.node.links.comesBefore(c.watchers) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(readPoll):
		}
	}
	return c.look(ctx)
}

// look reads what operators have written once. Where it fails, follow reads it; what may be
// seconds old is no beginning for a watch.
func (c *configuration) look(ctx context.Context) port.Moment {
	first := c.node.links.comesBefore(c.watchers)
	entries, at, err := c.readAs(ctx, first)
	if err != nil {
		c.node.log.Info("configuration not read", zap.Error(err))
		return port.Moment{}
	}
	c.node.readOperator(entries, at)
	if !first {
		return port.Moment{}
	}
	return at
}

// read reads what operators have written. A node that hears of changes from its peers only
// looks whether it has missed one long ago: an old reading will do.
func (c *configuration) read(ctx context.Context) ([]port.Entry, port.Moment, error) {
	return c.readAs(ctx, c.node.links.among(c.watchers))
}

// readAs reads what operators have written as it is, for a node that watches, or as it was
// lately.
func (c *configuration) readAs(ctx context.Context, watches bool) ([]port.Entry, port.Moment, error) {
	store, operator := c.node.platform.Store, c.node.platform.OperatorPrefix
	if watches {
		return store.Range(ctx, operator)
	}
	return store.Peek(ctx, operator)
}

// rest waits, without a call to the store, until it is time to read the key again
// or the node has become one of those that watch.
func (c *configuration) rest(ctx context.Context) {
	until := time.Now().Add(jitter(unwatchedPause(c.node.links.fleetSize())))
	for time.Now().Before(until) && !c.node.links.among(c.watchers) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchCheck):
		}
	}
}

// unwatchedPause is the pause between two reads of a node that does not watch.
func unwatchedPause(fleet int) time.Duration {
	return unwatchedRead * time.Duration(max(fleet, unwatchedFleet)) / unwatchedFleet
}

// watchWait is how long a watch waits that begins now on the node at a place among
// so many: until the node's next turn by the time of day. Clocks that are apart
// move the turns, and no more.
func watchWait(now time.Time, place, among int) time.Duration {
	round := watchRound(among)
	turn := round * time.Duration(min(place, among-1)) / time.Duration(among)
	wait := (turn - time.Duration(now.UnixNano()%int64(round)) + round) % round
	if wait < watchPerNode/2 {
		wait += round
	}
	return wait
}

// watchRound is the time in which each of so many watching nodes has its turn.
func watchRound(among int) time.Duration {
	return max(time.Duration(among)*watchPerNode, watchLeast)
}
