package mesh

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/gate"
	"eiderfold/route"
)

// configuration holds the newest configuration this process has seen. It never
// goes back.
type configuration struct {
	node     *Node
	mu       sync.Mutex
	version  uint64
	packed   []byte    // Its text, as peers are sent it.
	rejected uint64    // The newest version that was refused.
	asked    uint64    // The newest version that a peer was asked for.
	askAgain time.Time // When another peer may be asked for it.
	watchers int       // How many nodes of the fleet watch; tests set fewer.
}

func newConfiguration(n *Node) *configuration { return &configuration{node: n, watchers: watchers} }

// take puts a configuration in force if it is newer than what is. One that is
// not valid is logged, and what is in force stays.
func (c *configuration) take(text []byte, source string) {
	c.accept(text, nil, source)
}

// takePacked is take for what a peer has sent.
func (c *configuration) takePacked(packed []byte) {
	text, err := unpack(packed)
	if err != nil {
		c.node.log.Warn("configuration of a peer cannot be read", zap.Error(err))
		return
	}
	c.accept(text, packed, "peer")
}

// accept is take for a text and, where it came so, its packed form.
func (c *configuration) accept(text, packed []byte, source string) {
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
	if packed == nil {
		packed = pack(text)
	}
	c.packed = packed
	c.node.forwarder.SetTable(table)
	c.mu.Unlock()
	own, _ := table.Service(c.node.self.Service)
	c.node.gate.SetCold(gate.ColdBound{Time: own.ColdStart, Rate: own.ColdRate}) // Without the lock, as links may be told.
	c.node.log.Info("configuration in force", zap.Uint64("version", table.Version()), zap.String("source", source))
	c.note(table)
	c.node.links.offerVersion(table.Version())
}

// note tells once of each version what was not understood of it.
func (c *configuration) note(table *route.Table) {
	for _, note := range table.Notes() {
		c.node.metrics.Count("configuration_not_understood")
		c.node.log.Warn("configuration not understood", zap.Uint64("version", table.Version()), zap.String("note", note))
	}
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

// current returns what is in force, its text packed.
func (c *configuration) current() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.packed
}
