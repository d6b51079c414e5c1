package soak

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// shedShare is the share of requests that an unruly upstream refuses, before it reads their bodies.
	shedShare = 0.15
	// copyShare is the share of its answers that it sends a second time, up to copyDelay later.
	copyShare = 0.1
	copyDelay = 60 * time.Millisecond
	// readDelay is how long after an early answer it reads the body, at most.
	readDelay = 50 * time.Millisecond
)

// sheds refuses some requests of an unruly upstream before their bodies are read, and reports whether it did.
func (u *upstream) sheds(w http.ResponseWriter, r *http.Request) bool {
	if !u.unruly.Load() || rand.Float64() >= shedShare {
		return false
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // Without it the body is read before the answer is sent.
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = control.Flush() // The node may have closed the connection.
	time.Sleep(rand.N(readDelay))
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// unrulyListener accepts connections on which an unruly upstream sends some answers twice.
type unrulyListener struct {
	net.Listener
	upstream *upstream
}

// Accept implements net.Listener.
func (l unrulyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &unrulyConn{Conn: c, upstream: l.upstream}, nil
}

// unrulyConn sends copies of short answers between others.
type unrulyConn struct {
	net.Conn
	upstream *upstream
	mu       sync.Mutex
	left     int // Bytes of the current answer that were not written.
}

// Write implements net.Conn.
func (c *unrulyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == 0 {
		c.left = answerLength(p)
	}
	c.left -= len(p)
	n, err := c.Conn.Write(p)
	if err == nil && c.left == 0 && c.upstream.unruly.Load() && bytes.HasPrefix(p, []byte("HTTP/1.1 ")) && rand.Float64() < copyShare {
		late := slices.Clone(p)
		time.AfterFunc(rand.N(copyDelay), func() { c.writeLate(late) })
	}
	return n, err
}

// writeLate sends a copy of an answer unless another one is being written.
func (c *unrulyConn) writeLate(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == 0 {
		_, _ = c.Conn.Write(p) // The node may have closed the connection.
	}
}

// answerLength returns the length of the answer that begins with some bytes; one more than they are if that is unknown.
func answerLength(p []byte) int {
	in := bytes.NewReader(p)
	buffered := bufio.NewReader(in)
	r, err := http.ReadResponse(buffered, nil)
	if err != nil || r.ContentLength < 0 {
		return len(p) + 1
	}
	return len(p) - in.Len() - buffered.Buffered() + int(r.ContentLength)
}
