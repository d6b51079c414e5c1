package soak

import (
	"fmt"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// connectionStory notes what became of a request on its way to a node, for a violation
// that no node's log explains: the client may send a lookup again by itself.
type connectionStory struct {
	begun time.Time
	mu    sync.Mutex
	steps []string
	has   bool // It was given a connection.
}

// note adds a step with its time in milliseconds.
func (c *connectionStory) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, fmt.Sprintf("%d ms ", time.Since(c.begun).Milliseconds())+fmt.Sprintf(format, args...))
}

// connect takes note that the request has a connection.
func (c *connectionStory) connect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.has = true
}

// connected tells whether the request ever had a connection, so that some of it may have
// been sent.
func (c *connectionStory) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.has
}

// String returns the steps in their order.
func (c *connectionStory) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.steps, ", ")
}

// trace returns the hooks that note the steps.
func (c *connectionStory) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c.connect()
			c.note("connection %s to %s, used before: %t, idle %v", i.Conn.LocalAddr(), i.Conn.RemoteAddr(), i.Reused, i.IdleTime)
		},
		ConnectDone:          func(_, address string, err error) { c.note("dialed %s: %v", address, err) },
		WroteRequest:         func(i httptrace.WroteRequestInfo) { c.note("written: %v", i.Err) },
		GotFirstResponseByte: func() { c.note("first byte of the answer") },
	}
}
