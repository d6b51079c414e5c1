package gate

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// connectTimeout bounds a connection to the same instance, which takes 1 ms.
	connectTimeout = 1 * time.Second
	// endCheckTime bounds the look whether a process still listens: a port without one
	// refuses within a millisecond, and an answer waits for the look.
	endCheckTime = 50 * time.Millisecond
	// keptTime is how long an idle connection is used again for a retryable
	// request, unless the upstream says less.
	keptTime = 4 * time.Second
	// keptOnceTime is the same for a request that may run only once: should the
	// connection die under it, its outcome would be unknown. A connection that was
	// just used is not being closed for idleness, also by an upstream that forgets
	// them after 300 ms.
	keptOnceTime = 200 * time.Millisecond
	// A connection that broke under a request after a rest shortens the time that
	// others are kept to restShare of that rest, not under restLeast; every answer
	// lengthens it by restGrowth.
	restShare  = 0.7
	restLeast  = 100 * time.Millisecond
	restGrowth = 1.1
	// keepAliveShare is the part of the upstream's own idle time that is used.
	keepAliveShare = 0.6
	// bufferBytes is the size of a connection's buffer for reading: most headers fit.
	bufferBytes = 4 << 10
	// maxIdle is how many idle connections are kept.
	maxIdle = 16
)

// upstreamConn is a connection to the upstream.
type upstreamConn struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Time // By the upstream's word or keptTime.
	idleSince time.Time
	unused    bool // Nothing was sent on it yet.
}

// connection takes an idle connection that is quiet, or makes one.
func (c *client) connection(ctx context.Context, once bool) (*upstreamConn, error) {
	now := time.Now()
	for {
		conn := c.take()
		if conn == nil {
			break
		}
		fit := now.Before(conn.idleUntil) && now.Sub(conn.idleSince) < c.mayRest(once)
		if fit && quiet(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	return c.dial(ctx, connectTimeout)
}

// dial makes a connection.
func (c *client) dial(ctx context.Context, within time.Duration) (*upstreamConn, error) {
	d := net.Dialer{Timeout: within}
	raw, err := d.DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	c.dialed()
	return &upstreamConn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferBytes), unused: true}, nil
}

// processEnded tells whether the upstream's process has ended, after a connection to it
// broke. If it lives, the next request gets the connection that showed so.
func (c *client) processEnded(ctx context.Context) bool {
	conn, err := c.dial(ctx, endCheckTime)
	if err != nil {
		return refusedConnection(err)
	}
	conn.idleUntil = time.Now().Add(keptOnceTime) // No longer: nothing shows yet how long it may rest.
	c.keep(conn)
	return false
}

// refusedConnection tells whether a connection was refused: nobody listens.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// rested returns how long the connection was idle before this use; 0 for one that was
// never used, which says nothing of how long others may rest.
func (c *upstreamConn) rested() time.Duration {
	if c.unused {
		return 0
	}
	return time.Since(c.idleSince)
}

// mayRest returns how long a connection may have been idle to be used again.
func (c *client) mayRest(once bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := c.rest
	if rest == 0 {
		rest = keptTime
	}
	if once {
		return min(rest, keptOnceTime)
	}
	return rest
}

// learn adapts the time that connections may rest to how they fared.
func (c *client) learn(rested time.Duration, f *failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f != nil && f.outcome == Broken && rested > 0:
		c.rest = max(time.Duration(restShare*float64(rested)), restLeast)
	case f == nil && c.rest > 0:
		c.rest = min(time.Duration(restGrowth*float64(c.rest)), keptTime)
	}
}

// take returns the connection that was used last.
func (c *client) take() *upstreamConn {
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

// keep makes a connection idle, in place of the oldest one if there are too many.
func (c *client) keep(conn *upstreamConn) {
	conn.idleSince = time.Now()
	_ = conn.SetDeadline(time.Time{}) // Fails only on a closed connection, which quiet finds.
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdle {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, conn)
}

// drop closes idle connections; all of them, or those past their time.
func (c *client) drop(all bool) {
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

// idleTime reads how long the upstream keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(textproto.TrimString(value)); err == nil && seconds >= 0 {
			return min(keptTime, time.Duration(keepAliveShare*float64(seconds)*float64(time.Second)))
		}
	}
	return keptTime
}
