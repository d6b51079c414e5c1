package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eiderfold/httphead"
	"eiderfold/socket"
)

const (
	// connectTimeout bounds connecting within the same instance, which usually takes 1 ms.
	connectTimeout = 1 * time.Second
	// listenCheckTimeout bounds the check whether a process still listens. A port without a
	// listener refuses within a millisecond, and the result of the attempt waits for the check.
	listenCheckTimeout = 50 * time.Millisecond
	// maxIdleTime is how long an idle connection may be reused for a retryable request, unless
	// the upstream announces less.
	maxIdleTime = 4 * time.Second
	// maxIdleTimeOnce is the same for a request that may run only once: if the connection broke
	// during the request, its outcome would be unknown. Even an upstream that closes idle
	// connections after 300 ms does not close one that was used so recently.
	maxIdleTimeOnce = 200 * time.Millisecond
	// If a connection breaks during a request after an idle time, the limit for other
	// connections shrinks to idleShrink times that idle time, at least minIdleTime. Each answer
	// raises the limit by the factor idleGrowth.
	idleShrink  = 0.7
	minIdleTime = 100 * time.Millisecond
	idleGrowth  = 1.1
	// keepAliveShare is the part of the upstream's announced keep-alive timeout that is used.
	keepAliveShare = 0.6
	// readBufferBytes is the size of a connection's read buffer, large enough for most headers.
	readBufferBytes = 4 << 10
	// maxIdleConns bounds the idle connections that are kept.
	maxIdleConns = 16
	// maxUnfinished is how many attempts may be refused or answered with an error on a connection
	// before it is closed.
	maxUnfinished = 64
)

// upstreamConn is a connection to the upstream with its read buffer and idle times.
type upstreamConn struct {
	net.Conn
	reader    *bufio.Reader
	head      *httphead.Reader  // Below reader.
	limit     *io.LimitedReader // Below head: how many more bytes may be read.
	idleUntil time.Time         // By the upstream's Keep-Alive header or maxIdleTime.
	idleSince time.Time
	unused    bool // Nothing has been sent on it yet.
	// unfinished holds the attempts that were refused or answered with an error on it. They may be sent
	// again, and late copies of these answers could not be told from new ones.
	unfinished []string
}

// connection returns a usable idle connection or dials a new one. An attempt gets no connection on which it
// was sent before.
func (c *client) connection(ctx context.Context, attempt string, once bool) (*upstreamConn, error) {
	now := time.Now()
	for {
		conn := c.takeIdle()
		if conn == nil {
			break
		}
		fresh := now.Before(conn.idleUntil) && now.Sub(conn.idleSince) < c.idleLimit(once)
		if fresh && !slices.Contains(conn.unfinished, attempt) && isUsable(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	return c.dial(ctx, connectTimeout)
}

// dial opens a new connection.
func (c *client) dial(ctx context.Context, within time.Duration) (*upstreamConn, error) {
	d := net.Dialer{Timeout: within}
	raw, err := d.DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	c.dialed()
	socket.LimitUnread(raw)
	conn := &upstreamConn{Conn: socket.KeepReset(raw), unused: true}
	conn.limit = &io.LimitedReader{R: conn.Conn}
	conn.head = httphead.NewReader(conn.limit)
	conn.reader = bufio.NewReaderSize(conn.head, readBufferBytes)
	return conn, nil
}

// processEnded reports whether the upstream's process is gone, after a connection to it broke.
// If the process still listens, the new connection is kept for the next request.
func (c *client) processEnded(ctx context.Context) bool {
	conn, err := c.dial(ctx, listenCheckTimeout)
	if err != nil {
		return connectionRefused(err)
	}
	conn.idleUntil = time.Now().Add(maxIdleTimeOnce) // No longer, as its idle limit is not known yet.
	c.putIdle(conn)
	return false
}

// connectionRefused reports whether a connection was refused because nothing listens.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// idleFor returns how long the connection was idle before this use. It is 0 for a connection
// that was never used, since that says nothing about the idle limit.
func (c *upstreamConn) idleFor() time.Duration {
	if c.unused {
		return 0
	}
	return time.Since(c.idleSince)
}

// idleLimit returns how long a connection may have been idle to be reused.
func (c *client) idleLimit(once bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.adaptedIdle
	if limit == 0 {
		limit = maxIdleTime
	}
	if once {
		return min(limit, maxIdleTimeOnce)
	}
	return limit
}

// adaptIdle adapts the idle limit after a request on a connection that had been idle.
func (c *client) adaptIdle(idle time.Duration, f *failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f != nil && f.outcome == Broken && idle > 0:
		c.adaptedIdle = max(time.Duration(idleShrink*float64(idle)), minIdleTime)
	case f == nil && c.adaptedIdle > 0:
		c.adaptedIdle = min(time.Duration(idleGrowth*float64(c.adaptedIdle)), maxIdleTime)
	}
}

// takeIdle removes and returns the most recently used idle connection; nil if there is none.
func (c *client) takeIdle() *upstreamConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	conn := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return conn
}

// putIdle keeps a connection for reuse and closes the oldest one if there are too many.
func (c *client) putIdle(conn *upstreamConn) {
	conn.idleSince = time.Now()
	_ = conn.SetDeadline(time.Time{}) // Fails only on a closed connection, which isUsable detects.
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdleConns {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, conn)
}

// closeIdle closes all idle connections, or only the expired ones.
func (c *client) closeIdle(all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	kept := c.idle[:0]
	for _, conn := range c.idle {
		if !all && now.Before(conn.idleUntil) {
			kept = append(kept, conn)
			continue
		}
		_ = conn.Close()
	}
	c.idle = kept
}

// keepAliveTimeout returns how long to keep an idle connection, by the upstream's Keep-Alive
// header.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(textproto.TrimString(value)); err == nil && seconds >= 0 {
			return min(maxIdleTime, time.Duration(keepAliveShare*float64(seconds)*float64(time.Second)))
		}
	}
	return maxIdleTime
}
