package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/port"
)

// An upstream restarts with its previous id after it has left. The record of its leaving
// must apply only to the earlier start, in this process and in one that replaces it.
func TestUpstreamRestartsWithSameID(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	n := b.add("one", "births")
	b.awaitReady()
	n.upstream.sameID = true
	require.Equal(t, http.StatusOK, n.report(9, true))
	require.Equal(t, link.ModeClosed, n.gateMode())
	require.NoError(t, n.upstream.crash(restartDelay))
	require.Equal(t, http.StatusOK, n.report(1, false))
	b.awaitReady()
	assert.Equal(t, http.StatusOK, n.status(http.MethodGet, "/look/x", "x1"))
	n.stopNode()
	n.start()
	require.Equal(t, http.StatusOK, n.report(2, false))
	b.awaitReady()
	assert.Equal(t, http.StatusOK, n.status(http.MethodGet, "/look/x", "x2"))
	require.Equal(t, http.StatusOK, n.report(3, true))
	n.stopNode()
	n.start()
	require.Equal(t, http.StatusOK, n.report(3, false), "a delayed report from before it left")
	assert.Equal(t, http.StatusServiceUnavailable, n.status(http.MethodGet, "/look/x", "x3"))
	assert.Equal(t, link.ModeClosed, n.gateMode())
}

// The record of a start that leaves must concern the earlier starts of its id, too, as it does in the gate: a delayed
// report of one would open the gate of a new process.
func TestLeavingRecordIgnoresEarlierStart(t *testing.T) {
	record := leavingRecord{segment: keySegment(port.Incarnation{ID: "i/1", StartedAt: 9}), at: time.UnixMilli(20)}
	for startedAt, covered := range map[int64]bool{0: true, 5: true, 9: true, 10: false} {
		assert.Equal(t, covered, record.covers(port.Incarnation{ID: "i/1", StartedAt: startedAt}), "start %d", startedAt)
	}
	assert.False(t, record.covers(port.Incarnation{ID: "i/11", StartedAt: 5}))
	withoutStart := leavingRecord{segment: "i_1", at: time.UnixMilli(20)}
	for startedAt, covered := range map[int64]bool{0: true, 20: true, 21: false} {
		assert.Equal(t, covered, withoutStart.covers(port.Incarnation{ID: "i/1", StartedAt: startedAt}), "start %d", startedAt)
	}
}

// A whole heartbeat that is another writer's, or late, must not shut the live upstream out for good.
func TestOtherHeartbeatShutsTheUpstreamOut(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	n := b.add("one", "births")
	b.awaitReady()
	u := n.upstream
	for i, id := range []string{"i-other", "i-late"} {
		n.post(id, `{"service":"births","address":"`+u.address+`","zone":"d","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"callSeq":1}`)
		attempt := 0
		assert.Eventually(t, func() bool {
			attempt++
			if _, err := n.sendReport(10+attempt, false); err != nil {
				return false
			}
			status := n.status(http.MethodGet, "/look/x", fmt.Sprintf("x%d-%d", i, attempt))
			return status == http.StatusOK && n.gate.Status().Upstream == "i-one"
		}, 5*time.Second, 50*time.Millisecond, "%s is still taken for the upstream", id)
	}
}

// Malformed reports and reports of other upstreams must not affect the current one.
func TestForeignReportsAreIgnored(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	n := b.add("one", "births")
	b.awaitReady()
	u := n.upstream
	for _, body := range []string{
		"", "\xff", "[]", `{"state":"ready"}`,
		`{"service":"births","address":"` + u.address + `","slots":2,"state":"resting","zone":"d","version":"v1","coldLeftMs":0,"callSeq":5}`,
		`{"service":"births","address":"` + u.address + `","slots":"2","state":"ready","zone":"d","version":"v1","coldLeftMs":0,"callSeq":5}`,
		`{"service":"births","address":"127.0.0.1:1","slots":2,"state":"ready","zone":"d","version":"v1","coldLeftMs":0,"callSeq":5}`,
		`{"service":"other","address":"` + u.address + `","slots":2,"state":"ready","zone":"d","version":"v1","coldLeftMs":0,"callSeq":5}`,
	} {
		n.post("i-other", body)
		assert.Equal(t, link.ModeOpen, n.gateMode(), body)
		assert.Equal(t, "i-one", n.gate.Status().Upstream, body)
	}
	assert.Equal(t, http.StatusOK, n.status(http.MethodGet, "/look/x", "x1"))
}
