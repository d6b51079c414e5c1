package soak

import (
	"sync"
	"time"
)

// contact tells whether a node has been in touch for contactTime: no fault struck it, its
// links or the store.
type contact struct {
	mu     sync.Mutex
	faults int       // That strike it now.
	until  time.Time // When the last one ended.
}

// begin takes note of a fault; what it returns takes note of its end.
func (c *contact) begin() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.faults--
		c.until = time.Now()
	}
}

// kept tells whether the node is in touch.
func (c *contact) kept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults == 0 && time.Since(c.until) > contactTime
}
