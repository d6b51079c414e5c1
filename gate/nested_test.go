package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/platform"
	"eiderfold/port"
)

// failingClient answers each request with status 500 after some time.
type failingClient struct{ work time.Duration }

func (u failingClient) do(context.Context, *link.Content, port.OutgoingMetadata, bool, sendGuard) (*answer, *failure) {
	time.Sleep(u.work)
	return &answer{status: 500}, nil
}

func (failingClient) processEnded(context.Context) bool { return false }

func (failingClient) checkHealth(context.Context, string) (*healthAnswer, error) {
	return &healthAnswer{healthy: true}, nil
}
func (failingClient) closeIdle(bool) {}

// newFailingGate returns an open gate whose upstream answers each request with status 500 after some
// time. It must be called inside a synctest bubble.
func newFailingGate(work time.Duration) *Gate {
	g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
	g.client = failingClient{work: work}
	g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
	synctest.Wait()
	return g
}

// An error that follows from a failed nested request must not count against the upstream. A
// failure that ended earlier, or of a request from before the attempt, is no such reason.
func TestErrorAfterFailedNestedRequestIsIgnored(t *testing.T) {
	const work = 500 * time.Millisecond
	cases := map[string]struct {
		arrives, fails time.Duration // Since the attempt began.
		want           link.Mode
	}{
		"just failed":                {arrives: 100 * time.Millisecond, fails: work - nestedErrorWindow/2, want: link.ModeOpen},
		"failed long ago":            {arrives: 100 * time.Millisecond, fails: work - 2*nestedErrorWindow, want: link.ModeTrial},
		"arrived before the attempt": {arrives: -time.Millisecond, fails: work - nestedErrorWindow/2, want: link.ModeTrial},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFailingGate(work)
				for i := range uint64(3) {
					began := time.Now()
					g.Handle(discardSink{}, &link.Frame{Offer: &link.Offer{Key: link.Key{Number: i + 1}, Service: "a", TimeLeft: 5 * time.Second, Retryable: true, Content: &link.Content{}}})
					time.Sleep(c.fails)
					g.RecordFailure(overload.Failure{Arrived: began.Add(c.arrives)})
					time.Sleep(work)
				}
				assert.Equal(t, c.want, g.Status().Mode)
			})
		})
	}
}

// recordingSink records the answers sent to an ingress.
type recordingSink struct{ answers chan *link.Answer }

func (r recordingSink) Send(f *link.Frame) bool {
	if f.Answer != nil {
		r.answers <- f.Answer
	}
	return true
}

// A request must not be repeated because of a nested request that no budget was left for: the repeat
// would make it again. The budget of another attempt's nested request is no such reason.
func TestErrorAfterNestedRequestWithoutBudgetSaysSo(t *testing.T) {
	const work = 500 * time.Millisecond
	for name, c := range map[string]struct {
		failure overload.Failure
		want    bool
	}{
		"its own":          {overload.Failure{Parent: "a1", BudgetSpent: true}, true},
		"another reason":   {overload.Failure{Parent: "a1"}, false},
		"another attempt":  {overload.Failure{Parent: "a2", BudgetSpent: true}, false},
		"another caller's": {overload.Failure{BudgetSpent: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFailingGate(work)
				sink := recordingSink{answers: make(chan *link.Answer, 1)}
				g.Handle(sink, &link.Frame{Offer: &link.Offer{Key: link.Key{Number: 1}, Attempt: "a1", Service: "a", TimeLeft: 5 * time.Second, Retryable: true, Content: &link.Content{}}})
				time.Sleep(work - nestedErrorWindow/2)
				c.failure.Arrived = time.Now()
				g.RecordFailure(c.failure)
				assert.Equal(t, c.want, (<-sink.answers).BudgetSpent)
			})
		})
	}
}
