package mesh

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/gate"
	"eiderfold/route"
)

// configuration holds the newest configuration that this process has seen. The version
// never decreases.
type configuration struct {
	node           *Node
	installing     sync.Mutex // Held while a configuration is decoded and installed; taken before mu.
	mu             sync.Mutex // Never held for long: the goroutines that read links take it.
	version        uint64
	packed         []byte        // Compressed text, as sent to peers.
	rejected       uint64        // Newest version that was rejected.
	requested      uint64        // Newest version requested from a peer.
	requestExpires time.Time     // When another peer may be asked for it.
	watchers       int           // How many nodes of the fleet watch; tests set fewer.
	watchRequested chan struct{} // Signals a request from another node to watch.
	delegation     delegation
	heartbeats     heartbeats
}

func newConfiguration(n *Node) *configuration {
	c := &configuration{node: n, watchers: watchers, watchRequested: make(chan struct{}, 1),
		delegation: delegation{broadPause: backoff{min: broadPauseMin, max: broadPauseMax}}, heartbeats: heartbeats{last: time.Now(), lastReached: time.Now()}}
	c.delegation.silentPause = backoff{min: c.heartbeatTimeout(), max: delegationTime}
	return c
}

// apply puts a configuration in force if it is newer than the current one. An invalid one
// is logged, and the current one stays in force.
func (c *configuration) apply(text []byte, source string) {
	c.install(text, nil, source)
}

// applyPacked is apply for a compressed text from a peer.
func (c *configuration) applyPacked(packed []byte) {
	text, err := unpack(packed)
	if err != nil {
		c.node.log.Warn("cannot decompress configuration from peer", zap.Error(err))
		return
	}
	c.install(text, packed, "peer")
}

// install is apply for a text with its compressed form, nil if there is none yet.
func (c *configuration) install(text, packed []byte, source string) {
	c.installing.Lock()
	table, err := c.decodeNewer(text)
	if table == nil {
		c.installing.Unlock()
		if err != nil {
			c.node.log.Warn("configuration refused", zap.String("source", source), zap.Error(err))
		}
		return
	}
	if packed == nil {
		packed = pack(text)
	}
	c.node.limits.configured(time.Now())
	c.node.forwarder.SetTable(table)
	c.mu.Lock()
	c.version, c.packed = table.Version(), packed
	c.mu.Unlock()
	c.installing.Unlock()
	own, _ := table.Service(c.node.self.Service)
	c.node.gate.SetCold(gate.ColdBound{Time: own.ColdStart, Rate: own.ColdRate}) // Without the lock, as the gate may send on links.
	c.node.log.Info("configuration in force", zap.Uint64("version", table.Version()), zap.String("source", source))
	c.logNotes(table)
	c.node.links.offerVersion(table.Version())
}

// logNotes logs the parts of a version that were not understood. Each version is installed
// once.
func (c *configuration) logNotes(table *route.Table) {
	for _, note := range table.Notes() {
		c.node.metrics.Count("configuration_not_understood")
		c.node.log.Warn("configuration not understood", zap.Uint64("version", table.Version()), zap.String("note", note))
	}
}

// decodeNewer returns the table of a newer, valid text; nil without an error if the version
// is old.
func (c *configuration) decodeNewer(text []byte) (*route.Table, error) {
	document, err := c.node.platform.DecodeConfiguration(text)
	if document.Version != 0 && document.Version <= c.newestSeen() {
		return nil, nil
	}
	if err == nil {
		var table *route.Table
		if table, err = route.New(document); err == nil {
			return table, nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = max(c.rejected, document.Version)
	return nil, err
}

// newestSeen returns the newest version that is in force or was rejected.
func (c *configuration) newestSeen() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.version, c.rejected)
}

// current returns the version in force and its compressed text.
func (c *configuration) current() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.packed
}
