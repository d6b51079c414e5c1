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

// callStep is a nested request of a running attempt in a script.
type callStep struct {
	Key uint64 `yaml:"key"`
	To  string `yaml:"to"`
	// Took is how long it took; 0 if it found no room.
	Took time.Duration `yaml:"took"`
	Left bool          `yaml:"left"` // Its caller has left.
}

// callWaits are the shortest waits of services in a script. Others are unknown.
type callWaits map[string]time.Duration

func (w callWaits) of(service string) (time.Duration, bool) {
	wait, known := w[service]
	return wait, known
}

// nested passes the step's nested requests to the admission and returns the waits that apply.
func (s step) nested(now time.Time, a *Admission, before callWaits) callWaits {
	if s.Call != nil {
		a.NestedBegan(now, key(s.Call.Key), s.Call.To)
	}
	if s.Called != nil {
		status := http.StatusOK
		switch {
		case s.Called.Left:
			status = 0
		case s.Called.Took == 0:
			status = http.StatusServiceUnavailable
		}
		a.NestedEnded(now, key(s.Called.Key), s.Called.To, s.Called.Took, status)
	}
	if s.Waits != nil {
		return s.Waits
	}
	return before
}

// nestingClient makes two nested requests in each run, one after the other; the runs of some
// requests make none and take long. A request's target is its attempt id.
type nestingClient struct {
	blockingClient
	gate   *Gate
	status int // Of the answers to nested requests.
}

func (c nestingClient) do(_ context.Context, r *link.Content, _ port.OutgoingMetadata, _ bool) (*answer, *failure) {
	if r.Target == longAttempt {
		time.Sleep(longRun)
		return &answer{status: http.StatusOK}, nil
	}
	for range 2 {
		ended := c.gate.Nested(r.Target, "fonts")
		time.Sleep(100 * time.Millisecond)
		ended(c.status)
	}
	return &answer{status: http.StatusOK}, nil
}

const (
	longAttempt = "b1"
	longRun     = 10 * time.Second
)

// refusalSink records the refusals sent to an ingress.
type refusalSink struct{ refused []*link.Refused }

func (r *refusalSink) Send(f *link.Frame) bool {
	if f.Refused != nil {
		r.refused = append(r.refused, f.Refused)
	}
	return true
}

// offerAttempt offers an attempt at the gate and waits for the time that its run takes, if it makes
// nested requests.
func offerAttempt(g *Gate, to Sink, number uint64, attempt string, kind uint32, force bool) {
	g.Handle(to, &link.Frame{Offer: &link.Offer{Key: link.Key{Number: number}, Attempt: attempt, Service: "a", TimeLeft: 2 * time.Second, Kind: kind,
		Retryable: true, Force: force, Content: &link.Content{Target: attempt}}})
	time.Sleep(200 * time.Millisecond)
	synctest.Wait()
}

// An upstream's nested requests are reported to its gate by attempt. The gate must learn from them,
// and refuse offers only while the service that they lead to has no room, the latest of them has
// found none either, and others wait for a slot. A name that no attempt has must change nothing.
func TestGateLearnsFromNestedRequests(t *testing.T) {
	const none = http.StatusServiceUnavailable
	for name, c := range map[string]struct {
		wait   time.Duration
		known  bool
		status int
		off    []string
		force  bool
		idle   bool // No others wait.
		want   bool
	}{
		"no room":           {wait: 3 * time.Second, known: true, status: none, want: true},
		"room":              {known: true, status: none},
		"unknown":           {wait: 3 * time.Second, status: none},
		"contradicted":      {wait: 3 * time.Second, known: true, status: http.StatusOK},
		"an error is room":  {wait: 3 * time.Second, known: true, status: http.StatusInternalServerError},
		"callers have left": {wait: 3 * time.Second, known: true},
		"switched off":      {wait: 3 * time.Second, known: true, status: none, off: []string{"nested-room"}},
		"below the floor":   {wait: 3 * time.Second, known: true, status: none, force: true},
		"nobody waits":      {wait: 3 * time.Second, known: true, status: none, idle: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				off, err := switches.Off(c.off...)
				require.NoError(t, err)
				sink := &refusalSink{}
				g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop(), WithSwitches(off),
					WithNestedWait(func(string) (time.Duration, bool) { return c.wait, c.known }))
				g.client = nestingClient{gate: g, status: c.status}
				g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 1, Sequence: 1})
				synctest.Wait()
				for n := range uint64(10) {
					offerAttempt(g, sink, n+1, "a1", 7, false)
				}
				if !c.idle {
					defer time.Sleep(longRun)
					offerAttempt(g, sink, 11, longAttempt, 8, false)
					offerAttempt(g, sink, 12, longAttempt, 8, false)
				}
				g.Nested("a1", "fonts")(http.StatusOK)
				g.Nested("", "fonts")(http.StatusOK)
				require.Empty(t, sink.refused)
				offerAttempt(g, sink, 13, "a1", 7, c.force)
				if !c.want {
					assert.Empty(t, sink.refused)
					return
				}
				require.Len(t, sink.refused, 1)
				assert.Equal(t, link.ReasonNested, sink.refused[0].Reason)
				assert.Equal(t, c.wait, sink.refused[0].RetryAfter)
			})
		})
	}
}
