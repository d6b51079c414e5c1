// Package listener opens TCP listeners whose closing loses no established connection.
//
// The kernel establishes connections on its own and queues them until the process accepts them.
// Closing the socket resets those in the queue, although their callers may have written a request
// by then. Close therefore first makes the kernel refuse new connections, then lets Accept return
// those that are established, and closes the socket when the queue is empty.
//
// # Usage
//
//	l, err := listener.Listen("tcp4", address, func(c listener.Closing) { log(c) })
//	go server.Serve(l) // Accepts in one goroutine until Accept returns net.ErrClosed.
//	err = l.Close()    // Returns when every established connection has been accepted.
package listener

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// handshakeTime is how long connections may still be established after new ones are refused:
	// a round trip to a caller.
	handshakeTime = 50 * time.Millisecond
	// drainTimeout bounds how long Close waits for the accepting goroutine to empty the queue.
	drainTimeout = 200 * time.Millisecond
	// pollTime is how long Accept waits for a further connection while the listener drains.
	pollTime = time.Millisecond
)

// Listener is a TCP listener. One goroutine at a time may call Accept.
type Listener struct {
	socket   *net.TCPListener
	refuse   func(*net.TCPListener) error // Makes the kernel refuse new connections.
	onClosed func(Closing)
	closed   chan struct{} // Closed when the socket is.
	once     sync.Once     // Closes the socket.
	closeErr error         // Readable once closed is closed.

	mu       sync.Mutex
	closing  bool // Close has been called.
	draining bool // Accept ends when the queue is empty.
	report   Closing
}

// Listen opens a listener as net.Listen does. onClosed is called once, when its socket is closed.
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
	return &Listener{socket: socket, refuse: refuse, onClosed: onClosed, closed: make(chan struct{})}, nil
}

// Addr returns the address that it listens on.
func (l *Listener) Addr() net.Addr { return l.socket.Addr() }

// Accept returns the next connection. After Close it returns those that are established, and then
// net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.prepareAccept()
		c, err := l.socket.Accept()
		switch {
		case err == nil:
			l.countAccepted()
			return c, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case draining && queued(l.socket) <= 0:
			l.closeSocket()
			return nil, net.ErrClosed
		}
	}
}

// prepareAccept sets the deadline for an accept and reports whether the listener drains.
func (l *Listener) prepareAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		_ = l.socket.SetDeadline(time.Now().Add(pollTime)) // Fails only on a closed socket, as the accept does.
	}
	return l.draining
}

func (l *Listener) countAccepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		l.report.Accepted++
	}
}

// Close refuses new connections, waits until Accept has returned the established ones, and closes
// the socket. If no goroutine accepts, it closes the socket after drainTimeout. A second call waits
// for the first and returns net.ErrClosed.
func (l *Listener) Close() error {
	if !l.beginClosing() {
		<-l.closed
		return net.ErrClosed
	}
	l.drain()
	l.closeSocket()
	return l.closeErr
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

// drain refuses new connections and waits until Accept has returned the established ones.
func (l *Listener) drain() {
	err := l.refuse(l.socket)
	if err == nil {
		time.Sleep(handshakeTime)
	}
	l.beginDraining(err)
	select {
	case <-l.closed:
	case <-time.After(drainTimeout):
	}
}

// beginDraining wakes the accepting goroutine. err is why new connections are not refused.
func (l *Listener) beginDraining(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Refused, l.report.Cause = err == nil, err
	l.draining = true
	_ = l.socket.SetDeadline(time.Now()) // Fails only on a closed socket.
}

// closeSocket closes the socket, which resets the connections that are queued.
func (l *Listener) closeSocket() {
	l.once.Do(func() {
		lost := queued(l.socket)
		l.closeErr = l.socket.Close()
		l.onClosed(l.finishReport(lost))
		close(l.closed)
	})
}

func (l *Listener) finishReport(lost int) Closing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Lost = lost
	l.report.Took = time.Since(l.report.Began)
	return l.report
}
