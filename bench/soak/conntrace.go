package soak

import (
	"fmt"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// connTrace records the connection events of a request to a node. They explain
// violations that no node's log shows: the HTTP client may resend a lookup by itself.
type connTrace struct {
	start   time.Time
	mu      sync.Mutex
	steps   []string
	gotConn bool // The request got a connection.
	fresh   bool // Its last connection was new.
}

// addStep adds a step with its time since start in milliseconds.
func (c *connTrace) addStep(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, fmt.Sprintf("%d ms ", time.Since(c.start).Milliseconds())+fmt.Sprintf(format, args...))
}

// recordConn records that the request got a connection, and whether that is new.
func (c *connTrace) recordConn(fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gotConn = true
	c.fresh = fresh
}

// freshConn reports whether the last connection of the request was new. A stop can't close such a
// connection as idle, so the request is owed an answer.
func (c *connTrace) freshConn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh
}

// connected reports whether the request ever had a connection, so that part of it may
// have been sent.
func (c *connTrace) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gotConn
}

// String returns the steps in order of occurrence.
func (c *connTrace) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.steps, ", ")
}

// clientTrace returns the hooks that record the steps.
func (c *connTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c.recordConn(!i.Reused)
			c.addStep("connection %s to %s, used before: %t, idle %v", i.Conn.LocalAddr(), i.Conn.RemoteAddr(), i.Reused, i.IdleTime)
		},
		ConnectDone:          func(_, address string, err error) { c.addStep("dialed %s: %v", address, err) },
		WroteRequest:         func(i httptrace.WroteRequestInfo) { c.addStep("written: %v", i.Err) },
		GotFirstResponseByte: func() { c.addStep("first byte of the answer") },
	}
}
