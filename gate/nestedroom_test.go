package gate

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
	"eiderfold/switches"
)

// nestingClient makes nested requests in each run of attempt a1, one after the other. Other runs
// make none and take long.
type nestingClient struct {
	blockingClient
	gate     *Gate
	statuses []int // Of the answers to the nested requests.
}

func (c nestingClient) do(_ context.Context, r *link.Content, _ port.OutgoingMetadata, _ bool, _ sendGuard) (*answer, *failure) {
	if r.Target != "a1" {
		time.Sleep(10 * time.Second)
		return &answer{status: http.StatusOK}, nil
	}
	for _, status := range c.statuses {
		ended := c.gate.Nested("a1", "fonts")
		time.Sleep(100 * time.Millisecond)
		ended(status)
	}
	return &answer{status: http.StatusOK}, nil
}

// An upstream's nested requests are reported to its gate by attempt. The gate must learn from them,
// and refuse offers only while the service that they lead to has no room, the latest of them has
// found none either, and others wait for a slot. A name that no attempt has must change nothing.
func TestGateLearnsFromNestedRequests(t *testing.T) {
	none := []int{http.StatusServiceUnavailable}
	for name, c := range map[string]struct {
		unknown  bool // The wait of the service.
		statuses []int
		off      []string
		force    bool
		others   uint64 // Offers that need a slot; one gets it.
		want     int
	}{
		"no room":         {statuses: none, others: 2, want: 1},
		"caller has left": {statuses: []int{http.StatusServiceUnavailable, 0}, others: 2, want: 1},
		"unknown":         {statuses: none, others: 2, unknown: true},
		"contradicted":    {statuses: []int{http.StatusOK}, others: 2},
		"error with room": {statuses: []int{http.StatusInternalServerError}, others: 2},
		"switched off":    {statuses: none, others: 2, off: []string{"nested-room"}},
		"below the floor": {statuses: none, others: 2, force: true},
		"nobody waits":    {statuses: none, others: 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			off, err := switches.Off(c.off...)
			require.NoError(t, err)
			g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop(), WithSwitches(off),
				WithNestedWait(func(string) (time.Duration, bool) { return 3 * time.Second, !c.unknown }))
			g.client = nestingClient{gate: g, statuses: c.statuses}
			g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 1, Sequence: 1})
			synctest.Wait()
			sink := &refusalSink{}
			offer := func(number uint64, attempt string, kind uint32, force bool) {
				g.Handle(sink, &link.Frame{Offer: &link.Offer{Key: link.Key{Number: number}, Attempt: attempt, Service: "a", TimeLeft: 2 * time.Second, Kind: kind,
					Retryable: true, Force: force, Content: &link.Content{Target: attempt}}})
				time.Sleep(250 * time.Millisecond)
			}
			for n := range uint64(10) {
				offer(n, "a1", 7, false)
			}
			for n := range c.others {
				offer(10+n, "b1", 8, false)
			}
			g.Nested("a1", "fonts")(http.StatusOK) // It runs no longer.
			g.Nested("", "fonts")(http.StatusOK)
			require.Empty(t, sink.refused, name)
			offer(20, "a1", 7, c.force)
			require.Len(t, sink.refused, c.want, name)
			for _, r := range sink.refused {
				assert.Equal(t, link.Refused{Key: link.Key{Number: 20}, Reason: link.ReasonNested, RetryAfter: 3 * time.Second, Room: r.Room}, *r)
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// refusalSink records the refusals sent to an ingress.
type refusalSink struct{ refused []*link.Refused }

func (r *refusalSink) Send(f *link.Frame) bool {
	if f.Refused != nil {
		r.refused = append(r.refused, f.Refused)
	}
	return true
}
