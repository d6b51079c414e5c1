package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
