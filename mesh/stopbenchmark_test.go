package mesh

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const (
	// stoppedNodes is how many nodes stop at a time.
	stoppedNodes = 4
	// dialersPerNode is how many goroutines dial a node while it stops.
	dialersPerNode = 40
	// dialPause is the mean pause of a dialer between two requests.
	dialPause = 20 * time.Millisecond
	// callerTimeout is how long a dialer waits for a connection, and for the answer.
	callerTimeout = time.Second
)

// dialCounts counts the requests of dialers by their outcome.
type dialCounts struct {
	requests, answered, refused, silent, unanswered atomic.Int64
	mu                                              sync.Mutex
	reset                                           []string // Local addresses of the connections that were reset after a request was written.
}

func (d *dialCounts) addReset(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reset = append(d.reset, c.LocalAddr().String())
}

// logReset logs the connections that were reset, and the listeners that lost connections.
func (d *dialCounts) logReset(b *testing.B, log string) {
	if len(d.reset) == 0 {
		return
	}
	b.Log("reset:", d.reset)
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"listener closed"`) && !strings.Contains(line, `"pending":0,"lost":0`) {
			b.Log(line)
		}
	}
}

// acceptedOf returns how many of the connections that were reset are in a node's log. One that is
// not was never accepted: a stopping node logs each connection that it accepted and did not answer.
func (d *dialCounts) acceptedOf(log string) (accepted int) {
	for _, address := range d.reset {
		if strings.Contains(log, `"`+address+`"`) {
			accepted++
		}
	}
	return accepted
}

// BenchmarkDialsAtAStoppingNode stops nodes while callers dial them at random moments, each request
// on a new connection, and starts them again. An operation is one stop. It reports how many
// requests were reset after they had been written whole, how many dials timed out, and how many
// requests got no answer in time.
func BenchmarkDialsAtAStoppingNode(b *testing.B) {
	cluster := newTestCluster(b)
	cluster.logs = &logRecorder{}
	for i := range stoppedNodes {
		cluster.add(fmt.Sprintf("n%d", i), "births")
	}
	cluster.awaitReady()
	var counts dialCounts
	for stops := 0; b.Loop(); stops++ {
		if stops%stoppedNodes == 0 {
			cluster.stopAllUnderDials(&counts, stops)
		}
	}
	counts.logReset(b, cluster.logs.String())
	b.ReportMetric(float64(counts.requests.Load())/float64(b.N), "requests/op")
	b.ReportMetric(float64(counts.answered.Load()), "answered")
	b.ReportMetric(float64(counts.refused.Load()), "refused")
	b.ReportMetric(float64(len(counts.reset)), "reset")
	b.ReportMetric(float64(counts.acceptedOf(cluster.logs.String())), "reset-accepted")
	b.ReportMetric(float64(counts.silent.Load()), "silent")
	b.ReportMetric(float64(counts.unanswered.Load()), "unanswered")
}

// stopAllUnderDials stops and starts each node once, and dials them from shortly before they refuse
// new requests until they have stopped.
func (b *testCluster) stopAllUnderDials(counts *dialCounts, sequence int) {
	var stopping sync.WaitGroup
	for _, n := range b.nodes {
		stopping.Go(func() {
			n.cancel()
			time.Sleep(n.settings.Load().Grace()/2 - 100*time.Millisecond)
			var dialers sync.WaitGroup
			for range dialersPerNode {
				dialers.Go(func() { dialUntil(n.done, n.settings.Load().Callers(), counts) })
			}
			<-n.done
			dialers.Wait()
		})
	}
	stopping.Wait()
	for _, n := range b.nodes {
		n.start()
		n.report(sequence+2, false)
	}
	b.awaitReady()
}

// dialUntil sends requests, each on a new connection, until done is closed.
func dialUntil(done <-chan struct{}, address string, counts *dialCounts) {
	for {
		select {
		case <-done:
			return
		case <-time.After(rand.N(2 * dialPause)):
			counts.request(address)
		}
	}
}

// request sends one request on a new connection and counts its outcome.
func (d *dialCounts) request(address string) {
	d.requests.Add(1)
	c, err := net.DialTimeout("tcp4", address, callerTimeout)
	if err != nil {
		if isTimeout(err) {
			d.silent.Add(1)
			return
		}
		d.refused.Add(1)
		return
	}
	defer c.Close() //nolint:errcheck // It was only read last.
	_ = c.SetDeadline(time.Now().Add(callerTimeout))
	if _, err := c.Write([]byte("GET /look/x HTTP/1.1\r\nHost: office.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 900\r\n\r\n")); err != nil {
		d.addReset(c)
		return
	}
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	switch {
	case err == nil:
		d.answered.Add(1)
	case isTimeout(err):
		d.unanswered.Add(1)
	case strings.Contains(err.Error(), "reset"):
		d.addReset(c)
	default:
		d.unanswered.Add(1)
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
