package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
	"eiderfold/route"
)

const (
	// A watch may go deaf without a sign until its wait is over. So waits end at
	// different times on different nodes: some node of the fleet asks anew within
	// watchPerNode on average, and passes on what it finds. A wait is between
	// watchLeast and watchMost.
	watchPerNode = 500 * time.Millisecond
	watchLeast   = 1 * time.Second
	watchMost    = 10 * time.Second
	// askAfter is how long a node waits for its own watch before it asks a peer for
	// a configuration that the peer has: large ones need not come twice.
	askAfter = 250 * time.Millisecond
	// askAgain is how long the asked peer has before another one is asked.
	askAgain = 300 * time.Millisecond
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
}

func newConfiguration(n *Node) *configuration { return &configuration{node: n} }

// run follows the operator's key until ctx ends.
func (c *configuration) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.follow(ctx); err != nil && ctx.Err() == nil {
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
func (c *configuration) follow(ctx context.Context) error {
	store := c.node.platform.Store
	entry, revision, err := store.Get(ctx, c.node.platform.ConfigurationKey)
	if err != nil && !errors.Is(err, port.ErrMissing) {
		return err
	}
	if err == nil {
		c.take(entry.Value, "store")
	}
	for {
		entries, at, err := store.Watch(ctx, c.node.platform.ConfigurationKey, revision, watchWait(c.node.links.fleet()))
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

// watchWait draws how long a watch waits in a fleet of so many nodes.
func watchWait(nodes int) time.Duration {
	longest := min(max(time.Duration(nodes)*2*watchPerNode, watchLeast), watchMost)
	return watchLeast + time.Duration(rand.Float64()*float64(longest-watchLeast))
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
		time.AfterFunc(jitter(askAfter), func() { c.request(m.Version, from) })
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
	if needed {
		from.Send(&link.Frame{Configuration: &link.Configuration{Version: held, Want: true}})
	}
}
