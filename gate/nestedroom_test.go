package gate

import (
	"context"
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
		a.NestedEnded(now, key(s.Called.Key), s.Called.To)
	}
	if s.Waits != nil {
		return s.Waits
	}
	return before
}

// nestingClient makes two nested requests in each run, one after the other. A request's target
// is its attempt id.
type nestingClient struct {
	blockingClient
	gate *Gate
}

func (c nestingClient) do(_ context.Context, r *link.Content, _ port.OutgoingMetadata, _ bool) (*answer, *failure) {
	for range 2 {
		ended := c.gate.Nested(r.Target, "fonts")
		time.Sleep(100 * time.Millisecond)
		ended()
	}
	return &answer{status: 200}, nil
}

// refusalSink records the refusals sent to an ingress.
type refusalSink struct{ refused []*link.Refused }

func (r *refusalSink) Send(f *link.Frame) bool {
	if f.Refused != nil {
		r.refused = append(r.refused, f.Refused)
	}
	return true
}

// An upstream's nested requests are announced to its gate by attempt. The gate must learn from
// them, and refuse offers only while the service that they lead to has no room; a name that no
// attempt has, and a nested request that outlives its run, must change nothing.
func TestGateLearnsFromNestedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		wait  time.Duration
		known bool
		off   []string
		force bool
		want  bool
	}{
		"no room":         {wait: 3 * time.Second, known: true, want: true},
		"room":            {known: true},
		"unknown":         {wait: 3 * time.Second},
		"switched off":    {wait: 3 * time.Second, known: true, off: []string{"nested-room"}},
		"below the floor": {wait: 3 * time.Second, known: true, force: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				off, err := switches.Off(c.off...)
				require.NoError(t, err)
				sink := &refusalSink{}
				g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop(), WithSwitches(off),
					WithNestedWait(func(string) (time.Duration, bool) { return c.wait, c.known }))
				g.client = nestingClient{gate: g}
				g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
				synctest.Wait()
				offer := func(n uint64) {
					g.Handle(sink, &link.Frame{Offer: &link.Offer{Key: link.Key{Number: n}, Attempt: "a1", Service: "a", TimeLeft: 2 * time.Second, Kind: 7,
						Retryable: true, Force: c.force, Content: &link.Content{Target: "a1"}}})
					time.Sleep(time.Second)
				}
				for n := range uint64(10) {
					offer(n + 1)
				}
				require.Empty(t, sink.refused, "it has not learned enough")
				g.Nested("a1", "fonts")()
				g.Nested("", "fonts")()
				offer(11)
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
