package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
)

// failingClient answers each request with status 500 after some time.
type failingClient struct{ work time.Duration }

func (u failingClient) do(context.Context, *link.Content, port.OutgoingMetadata, bool) (*answer, *failure) {
	time.Sleep(u.work)
	return &answer{status: 500}, nil
}

func (failingClient) processEnded(context.Context) bool { return false }

func (failingClient) checkHealth(context.Context, string) (*healthAnswer, error) {
	return &healthAnswer{healthy: true}, nil
}
func (failingClient) closeIdle(bool) {}

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
				g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
				g.client = failingClient{work: work}
				g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
				synctest.Wait()
				for i := range uint64(3) {
					began := time.Now()
					g.Handle(discardSink{}, &link.Frame{Offer: &link.Offer{Key: link.Key{Number: i + 1}, Service: "a", TimeLeft: 5 * time.Second, Retryable: true, Content: &link.Content{}}})
					time.Sleep(c.fails)
					g.RecordFailure(began.Add(c.arrives))
					time.Sleep(work)
				}
				assert.Equal(t, c.want, g.Status().Mode)
			})
		})
	}
}
