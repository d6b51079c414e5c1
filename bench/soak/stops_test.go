package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStopsAreMetOnlyWhileTheListenerCloses checks that a dial overlaps a stop only if it
// began after the node may have closed its listener and before the next process was started.
// LOST violations report this, because no node's log shows a dial lost to a closing listener.
func TestStopsAreMetOnlyWhileTheListenerCloses(t *testing.T) {
	var s stops
	begin := time.Unix(1000, 0)
	assert.False(t, s.overlaps(begin))
	s.end(begin) // A process was killed and restarted, without a SIGTERM.
	s.begin(begin)
	closes := begin.Add(closeAfter)
	assert.False(t, s.overlaps(closes.Add(-2*closeMargin)), "it still listens")
	assert.True(t, s.overlaps(closes))
	assert.True(t, s.overlaps(closes.Add(time.Second)), "the next process has not been started")
	s.end(closes.Add(100 * time.Millisecond))
	assert.True(t, s.overlaps(closes.Add(99*time.Millisecond)))
	assert.False(t, s.overlaps(closes.Add(101*time.Millisecond)), "the next process listens")
	s.begin(closes.Add(200 * time.Millisecond))
	assert.True(t, s.overlaps(closes), "one stop soon after the other")
}

// TestKernelCountersAreRead parses counters in the format of /proc/net/netstat.
func TestKernelCountersAreRead(t *testing.T) {
	k := parseKernelCounters("TcpExt: SyncookiesSent ListenDrops TCPSynRetrans\nTcpExt: 7 3 41\nIpExt: InOctets\nIpExt: 5\n")
	assert.Equal(t, kernelCounters{"ListenDrops": 3, "TCPSynRetrans": 41}, k)
	assert.Empty(t, parseKernelCounters("TcpExt: ListenDrops\nTcpExt:\n"))
}

// BenchmarkDialsAtAClosingListener dials a listener from eight goroutines at random moments
// while the listener is closed and reopened about every 20 ms, and while it stays open. Without
// the pauses all dialers wait for an accept when it closes, and hardly any dials then. It reports
// the dials per iteration and the total number of dials that timed out.
func BenchmarkDialsAtAClosingListener(b *testing.B) {
	for name, closes := range map[string]bool{"closed": true, "kept": false} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(b, err)
			defer func() { _ = l.Close() }() // The listener may be closed already.
			address := l.Addr().String()
			var dials, lost atomic.Int64
			stopDialing := dialUntilStopped(address, &dials, &lost)
			go acceptAll(l)
			for b.Loop() {
				time.Sleep(10*time.Millisecond + rand.N(20*time.Millisecond))
				if !closes {
					continue
				}
				_ = l.Close()
				time.Sleep(2 * time.Millisecond)
				l, err = net.Listen("tcp4", address)
				require.NoError(b, err)
				go acceptAll(l)
			}
			stopDialing()
			b.ReportMetric(float64(dials.Load())/float64(b.N), "dials/op")
			b.ReportMetric(float64(lost.Load()), "lost")
		})
	}
}

// dialPause is the mean pause between two dials of a goroutine.
const dialPause = 2 * time.Millisecond

// dialUntilStopped dials from eight goroutines until stop is called.
func dialUntilStopped(address string, dials, lost *atomic.Int64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var dialers sync.WaitGroup
	for range 8 {
		dialers.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(rand.N(2 * dialPause))
				dials.Add(1)
				if dialOnce(address) {
					lost.Add(1)
				}
			}
		})
	}
	return func() {
		cancel()
		dialers.Wait()
	}
}

// acceptAll writes one byte to each connection. Dialers wait for it, so that they do not
// overflow the accept queue.
func acceptAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte{1}) // The dialer may have closed the connection.
		_ = c.Close()
	}
}

// dialOnce dials and waits for the byte, and reports whether the dial timed out.
func dialOnce(address string) bool {
	c, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err == nil {
		_, _ = c.Read(make([]byte, 1)) // The listener may have been closed.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return false
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
