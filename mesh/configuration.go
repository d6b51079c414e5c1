package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
	"eiderfold/route"
)

const (
	// A watch may go deaf without a sign until its wait is over. So those that watch
	// end their waits in turn, one each watchPerNode, and pass on what they find. A
	// wait is watchLeast at least, for fleets of a few nodes.
	watchPerNode = 300 * time.Millisecond
	watchLeast   = 1 * time.Second
	// watchers is how many nodes of a fleet watch the store. The others hear of a
	// change from them, so that the store's work does not grow with the fleet. Any
	// few of them would do; this many outlast a data centre that is cut off.
	watchers = 24
	// unwatchedRead is how often a node that does not watch reads the key, should
	// no word ever reach it.
	unwatchedRead = 30 * time.Second
	// watchCheck is the pace at which a node that does not watch looks whether it
	// has to begin.
	watchCheck = 250 * time.Millisecond
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
	// watchRetry is the pause after a failed read or watch.
	watchRetry = 300 * time.Millisecond
)

// configuration holds the newest configuration this process has seen. It never
// goes back.
type configuration struct {
	node     *Node
	mu       sync.Mutex
	version  uint64
	text     []byte
	rejected uint64 // The newest version that was refused.
	asked    uint64 // The newest version that a peer was asked for,
	askAgain time.Time
	watchers int // How many nodes of the fleet watch.
}

func newConfiguration(n *Node) *configuration { return &configuration{node: n, watchers: watchers} }

// run follows the operator's key until ctx ends.
func (c *configuration) run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := c.follow(ctx, lost)
		if lost = err != nil; lost && ctx.Err() == nil {
			c.node.log.Info("configuration not followed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(jitter(watchRetry)):
			}
		}
	}
}

// follow reads the key and watches it until something fails. Lost history is no
// failure: the key is read again.
func (c *configuration) follow(ctx context.Context, lost bool) error {
	store := c.node.platform.Store
	entry, revision, err := store.Get(ctx, c.node.platform.ConfigurationKey)
	if err != nil && !errors.Is(err, port.ErrMissing) {
		return err
	}
	if lost {
		c.node.directory.check()
	}
	if err == nil {
		c.take(entry.Value, "store")
	}
	for {
		if !c.node.links.among(c.watchers) {
			return c.rest(ctx)
		}
		wait := watchWait(time.Now(), c.node.links.place(), min(c.node.links.fleet(), c.watchers))
		entries, at, err := store.Watch(ctx, c.node.platform.ConfigurationKey, revision, wait)
		if errors.Is(err, port.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		revision = max(at, revision)
		for _, e := range entries {
			if e.Key == c.node.platform.ConfigurationKey {
				c.take(e.Value, "watch")
			}
		}
	}
}

// rest waits, without a call to the store, until it is time to read the key again
// or the node has become one of those that watch.
func (c *configuration) rest(ctx context.Context) error {
	until := time.Now().Add(jitter(unwatchedRead))
	for time.Now().Before(until) && !c.node.links.among(c.watchers) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchCheck):
		}
	}
	return nil
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

// take puts a configuration in force if it is newer than what is. One that is
// not valid is logged, and what is in force stays.
func (c *configuration) take(text []byte, source string) {
	c.mu.Lock()
	table, err := c.check(text)
	if table == nil {
		c.mu.Unlock()
		if err != nil {
			c.node.log.Warn("configuration refused", zap.String("source", source), zap.Error(err))
		}
		return
	}
	c.version = table.Version()
	c.text = text
	c.node.forwarder.SetTable(table)
	c.mu.Unlock()
	c.node.log.Info("configuration in force", zap.Uint64("version", table.Version()), zap.String("source", source))
	c.node.links.offerVersion(table.Version())
}

// check returns the table of a newer, valid text; nil without an error if it is old.
func (c *configuration) check(text []byte) (*route.Table, error) {
	document, err := c.node.platform.DecodeConfiguration(text)
	if document.Version != 0 && document.Version <= max(c.version, c.rejected) {
		return nil, nil
	}
	if err == nil {
		var table *route.Table
		if table, err = route.New(document); err == nil {
			return table, nil
		}
	}
	c.rejected = max(c.rejected, document.Version)
	return nil, err
}

// current returns what is in force.
func (c *configuration) current() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.text
}

// handle takes a peer's message about its configuration and answers it.
func (c *configuration) handle(m *link.Configuration, from *link.Link) {
	version, text := c.current()
	switch {
	case m.Want && version > m.Version:
		from.Send(&link.Frame{Configuration: &link.Configuration{Version: version, Text: text}})
	case len(m.Text) > 0:
		c.take(m.Text, "peer")
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
