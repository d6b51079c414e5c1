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

// erringUpstream answers each request after a while with an error of its own.
type erringUpstream struct{ work time.Duration }

func (u erringUpstream) do(context.Context, *link.Content, port.OutgoingTerms, bool) (*answer, *failure) {
	time.Sleep(u.work)
	return &answer{status: 500}, nil
}

func (erringUpstream) processEnded(context.Context) bool { return false }

func (erringUpstream) checkHealth(context.Context, string) (string, error) { return "", nil }
func (erringUpstream) drop(bool)                                           {}

// TestErrorOfAFailedCallIsExcused lets an upstream err over and over. While a request
// from its own instance, made during the attempt, has just failed, that is no evidence
// against it; an older failure, or one of a request that was there before, is none for it.
func TestErrorOfAFailedCallIsExcused(t *testing.T) {
	const work = 500 * time.Millisecond
	cases := map[string]struct {
		arrives, fails time.Duration // After the attempt began.
		want           link.Mode
	}{
		"just failed":           {arrives: 100 * time.Millisecond, fails: work - callEchoTime/2, want: link.ModeOpen},
		"failed long ago":       {arrives: 100 * time.Millisecond, fails: work - 2*callEchoTime, want: link.ModeTrial},
		"there before it began": {arrives: -time.Millisecond, fails: work - callEchoTime/2, want: link.ModeTrial},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Upstream{Service: "a"}, platform.Headers{}, zap.NewNop())
				g.client = erringUpstream{work: work}
				g.Report(port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: "a", Slots: 4, Sequence: 1})
				synctest.Wait()
				for i := range uint64(3) {
					began := time.Now()
					g.Handle(deafSink{}, &link.Frame{Offer: &link.Offer{Key: link.Key{Number: i + 1}, Service: "a", Left: 5 * time.Second, Retryable: true, Content: &link.Content{}}})
					time.Sleep(c.fails)
					g.NoteFailure(began.Add(c.arrives))
					time.Sleep(work)
				}
				assert.Equal(t, c.want, g.Status().Mode)
			})
		})
	}
}
