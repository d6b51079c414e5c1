// Package listener opens TCP listeners whose closing loses no established connection.
//
// The kernel establishes connections on its own and queues them until the process accepts them.
// Closing the socket resets those in the queue, although their callers may have written a request
// by then. Close therefore first makes the kernel refuse new connections, accepts those that are
// established, closes the socket, and lets Accept return what it has accepted.
//
// # Usage
//
//	l, err := listener.Listen("tcp4", address, func(c listener.Closing) { log(c) })
//	go server.Serve(l) // Accepts in one goroutine until Accept returns net.ErrClosed.
//	err = l.Close()    // Returns when Accept has returned every established connection.
package listener

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// handshakeTime is how long connections may still be established after new ones are refused:
	// a round trip to a caller.
	handshakeTime = 50 * time.Millisecond
	// pollTime is how long Close waits for a further connection before it closes the socket.
	pollTime = time.Millisecond
	// maxFailedAccepts is how often Close fails to accept a queued connection, a pollTime apart,
	// until it gives up.
	maxFailedAccepts = 50
	// maxQueued is how many connections Close accepts at most: Linux queues no more by default.
	maxQueued = 4096
	// takeTimeout is how long Close waits for Accept to return the connections.
	takeTimeout = 150 * time.Millisecond
)

// Listener is a TCP listener. One goroutine at a time may call Accept.
type Listener struct {
	socket   *net.TCPListener
	refuse   func(*net.TCPListener) error // Makes the kernel refuse new connections.
	onClosed func(Closing)
	closed   chan struct{} // Closed when the socket is closed and pending is complete.
	drained  chan struct{} // Closed when Accept has returned the last connection.

	mu      sync.Mutex
	closing bool       // Close has been called.
	ended   bool       // Accept has returned the last connection.
	pending []net.Conn // Connections that Close has accepted, for Accept to return.
	report  Closing
}

// Listen opens a listener as net.Listen does. onClosed is called once, before Close returns.
func Listen(network, address string, onClosed func(Closing)) (*Listener, error) {
	opened, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	socket, ok := opened.(*net.TCPListener)
	if !ok {
		_ = opened.Close() // Nothing was accepted.
		return nil, errors.Errorf("network %s is not TCP", network)
	}
	return &Listener{socket: socket, refuse: refuse, onClosed: onClosed, closed: make(chan struct{}), drained: make(chan struct{})}, nil
}

// Addr returns the address that it listens on.
func (l *Listener) Addr() net.Addr { return l.socket.Addr() }

// Accept returns the next connection. After Close it returns those that are established, and then
// net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.socket.Accept()
	if err == nil {
		l.countAccepted()
		return c, nil
	}
	if !l.isClosing() {
		return nil, err
	}
	<-l.closed
	return l.takePending()
}

func (l *Listener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

func (l *Listener) countAccepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		l.report.Accepted++
	}
}

// takePending returns the next connection that Close has accepted, net.ErrClosed after the last.
func (l *Listener) takePending() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > 0 {
		c := l.pending[0]
		l.pending = l.pending[1:]
		return c, nil
	}
	if !l.ended {
		l.ended = true
		close(l.drained)
	}
	return nil, net.ErrClosed
}

// Close refuses new connections, accepts the established ones, closes the socket, and waits up to
// takeTimeout until Accept has returned them all; it still returns the others later. A further call
// returns net.ErrClosed at once.
func (l *Listener) Close() error {
	if !l.beginClosing() {
		return net.ErrClosed
	}
	refused := l.refuse(l.socket)
	if refused == nil {
		time.Sleep(handshakeTime)
	}
	l.acceptQueued()
	lost := queued(l.socket)
	err := l.socket.Close()
	close(l.closed)
	select {
	case <-l.drained:
	case <-time.After(takeTimeout):
	}
	l.onClosed(l.endReport(refused, lost))
	return err
}

// beginClosing reports whether this is the first call of Close.
func (l *Listener) beginClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.closing = true
	l.report = Closing{Address: l.Addr(), Began: time.Now()}
	return true
}

// acceptQueued accepts until no connection is queued. It does not rely on the goroutine that accepts,
// which a busy machine may not run in time, and counts attempts, as the process may be suspended.
func (l *Listener) acceptQueued() {
	for accepted, failed := 0, 0; accepted < maxQueued && failed < maxFailedAccepts; {
		_ = l.socket.SetDeadline(time.Now().Add(pollTime)) // Ends an accept in Accept, too.
		c, err := l.socket.Accept()
		if err == nil {
			l.addPending(c)
			accepted++
			continue
		}
		if queued(l.socket) <= 0 {
			return
		}
		failed++
		time.Sleep(pollTime) // Descriptors may be exhausted.
	}
}

func (l *Listener) addPending(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, c)
	l.report.Accepted++
}

func (l *Listener) endReport(refused error, lost int) Closing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Refused, l.report.Cause = refused == nil, refused
	l.report.Lost, l.report.Pending = lost, len(l.pending)
	l.report.Took = time.Since(l.report.Began)
	return l.report
}
