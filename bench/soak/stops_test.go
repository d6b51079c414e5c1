package soak

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A lookup of a caller at n2 was called lost, "no answer in 6s", and no node's log had a line of it. The six seconds were
// the text's, not the request's: the caller's requests come one after the other, and n2's log has its 95th at 51.09 s
// and its 121st at 54.36, so that the 100th took one second and no more, and only a dial has a bound of one second. It
// ended 0.9 s after n2 had (51.76), so it began when n2 closed its listener: 51.687, "gate mode" "node stops". A violation
// tells now how long it took, whether there ever was a connection, and whether the listener may have been closing.

// TestStopsAreMetOnlyWhileTheListenerCloses tells a dial by the time at which it began: not
// while the stopping node still listens, and not once the next process does.
func TestStopsAreMetOnlyWhileTheListenerCloses(t *testing.T) {
	var s stops
	begin := time.Unix(1000, 0)
	assert.False(t, s.met(begin))
	s.end(begin) // A process that was killed and started again.
	s.begin(begin)
	closes := begin.Add(closeAfter)
	assert.False(t, s.met(closes.Add(-2*signalTime)), "it still listens")
	assert.True(t, s.met(closes))
	assert.True(t, s.met(closes.Add(time.Second)), "the next process has not been started")
	s.end(closes.Add(100 * time.Millisecond))
	assert.True(t, s.met(closes.Add(99*time.Millisecond)))
	assert.False(t, s.met(closes.Add(101*time.Millisecond)), "the next process listens")
	s.begin(closes.Add(200 * time.Millisecond))
	assert.True(t, s.met(closes), "one stop soon after the other")
}

// TestKernelCountersAreRead reads the form in which the kernel has them.
func TestKernelCountersAreRead(t *testing.T) {
	k := parseKernelCounters("TcpExt: SyncookiesSent ListenDrops TCPSynRetrans\nTcpExt: 7 3 41\nIpExt: InOctets\nIpExt: 5\n")
	assert.Equal(t, kernelCounters{"ListenDrops": 3, "TCPSynRetrans": 41}, k)
	assert.Empty(t, parseKernelCounters("TcpExt: ListenDrops\nTcpExt:\n"))
}

// BenchmarkDialsAtAClosingListener dials a listener as fast as eight callers can while it is
// closed and opened again, 20 ms later each time, and while it stays open. Reported are
// the dials that timed out, for each closing.
func BenchmarkDialsAtAClosingListener(b *testing.B) {
	for name, closes := range map[string]bool{"closed": true, "kept": false} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(b, err)
			defer func() { _ = l.Close() }() // It may be closed already.
			address := l.Addr().String()
			var dials, lost atomic.Int64
			stopDialing := dialOften(address, &dials, &lost)
			go answerAll(l)
			for b.Loop() {
				time.Sleep(20 * time.Millisecond)
				if !closes {
					continue
				}
				_ = l.Close()
				time.Sleep(2 * time.Millisecond)
				l, err = net.Listen("tcp4", address)
				require.NoError(b, err)
				go answerAll(l)
			}
			stopDialing()
			b.ReportMetric(float64(dials.Load())/float64(b.N), "dials/op")
			b.ReportMetric(float64(lost.Load()), "lost")
		})
	}
}

// dialOften dials from eight goroutines until what it returns is called.
func dialOften(address string, dials, lost *atomic.Int64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var dialers sync.WaitGroup
	for range 8 {
		dialers.Go(func() {
			for ctx.Err() == nil {
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

// answerAll answers each connection with one byte, so that dialers do not outrun it.
func answerAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte{1}) // The dialer may have gone.
		_ = c.Close()
	}
}

// dialOnce dials and waits for an answer, and reports whether the dial timed out.
func dialOnce(address string) bool {
	c, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err == nil {
		_, _ = c.Read(make([]byte, 1)) // Its listener may have been closed.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return false
	}
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}
