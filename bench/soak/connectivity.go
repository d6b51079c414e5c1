package soak

import (
	"sync"
	"time"
)

// connectivity tracks the faults that affect a node, its links or the store. The node
// counts as connected once propagationTime has passed since the last of them.
type connectivity struct {
	mu      sync.Mutex
	faults  int       // Number of current faults.
	lastEnd time.Time // When the most recent fault ended.
}

// beginFault records the start of a fault. The returned function records its end.
func (c *connectivity) beginFault() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.faults--
		c.lastEnd = time.Now()
	}
}

// connected reports whether no fault has affected the node for propagationTime.
func (c *connectivity) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults == 0 && time.Since(c.lastEnd) > propagationTime
}
