package listener

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const (
	// dialers is how many goroutines dial.
	dialers = 8
	// dialPause is the mean pause between two dials of a goroutine.
	dialPause = 2 * time.Millisecond
	// dialTimeout is how long a dial may take; the kernel repeats a lost SYN after a second.
	dialTimeout = time.Second
	// openTime is the mean time for which the listener is open.
	openTime = 20 * time.Millisecond
)

// BenchmarkDialsAtAClosingListener dials a listener from eight goroutines at random moments and
// writes a request on each connection, while the listener is closed and opened again: at once, as
// net.Listener closes, or by Close, with new connections refused first or not. An operation is one
// closing. It reports the number of dials, how many of them timed out, and how many requests were
// reset after they had been written, in total.
func BenchmarkDialsAtAClosingListener(b *testing.B) {
	for name, closeOne := range map[string]func(*Listener) error{
		"at once":       func(l *Listener) error { return l.socket.Close() },
		"fallback":      func(l *Listener) error { l.refuse = refuseNothing; return l.Close() },
		"refused first": func(l *Listener) error { return l.Close() },
	} {
		b.Run(name, func(b *testing.B) {
			l := openAndServe(b, "127.0.0.1:0")
			address := l.Addr().String()
			var counts dialCounts
			stop := counts.dialUntilStopped(address)
			for b.Loop() {
				time.Sleep(openTime/2 + rand.N(openTime))
				require.NoError(b, closeOne(l))
				l = openAndServe(b, address)
			}
			stop()
			require.NoError(b, l.Close())
			b.ReportMetric(float64(counts.dials.Load())/float64(b.N), "dials/op")
			b.ReportMetric(float64(counts.silent.Load()), "silent")
			b.ReportMetric(float64(counts.reset.Load()), "reset")
		})
	}
}

// openAndServe opens a listener that answers each connection with one byte and closes it.
func openAndServe(b *testing.B, address string) *Listener {
	b.Helper()
	l, err := Listen("tcp4", address, func(Closing) {})
	require.NoError(b, err)
	go Serve(l, func(c net.Conn) {
		go func() {
			_, _ = c.Read(make([]byte, 1)) // The dialer may have gone.
			_, _ = c.Write([]byte{1})
			_ = c.Close()
		}()
	})
	return l
}

// dialCounts counts dials by their outcome.
type dialCounts struct {
	dials, silent, reset atomic.Int64
}

// dialUntilStopped dials until stop is called.
func (d *dialCounts) dialUntilStopped(address string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range dialers {
		running.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(rand.N(2 * dialPause))
				d.dial(address)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// dial sends a request on a new connection, waits for the answer and counts the outcome.
func (d *dialCounts) dial(address string) {
	d.dials.Add(1)
	c, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			d.silent.Add(1)
		}
		return
	}
	defer c.Close() //nolint:errcheck // It was only read last.
	_, err = c.Write([]byte{1})
	if err == nil {
		_, err = io.ReadFull(c, make([]byte, 1))
	}
	if err != nil {
		d.reset.Add(1)
	}
}
