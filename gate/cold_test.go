package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/port"
)

// After an evacuation, all waiting callers come to cold upstreams at once. The gate must limit
// the rate of starts however many slots are free, or the upstream would be overloaded.
func TestColdUpstreamIsRateLimited(t *testing.T) {
	const rate = 11
	begin := time.Unix(1_000_000, 0)
	a := NewAdmission(scriptService, budget.New(1, 400, time.Time{}))
	a.Update(ColdBoundChanged{At: begin, Cold: ColdBound{Time: 3 * time.Second, Rate: rate}})
	i := port.Incarnation{ID: "i-1"}
	a.Update(Reported{At: begin, Report: port.Report{Incarnation: i, Service: scriptService, Slots: 8, Sequence: 1, ColdLeft: 3 * time.Second}})
	a.Update(Confirmed{At: begin, Upstream: i})
	var starts []time.Time
	running := map[link.Key]time.Time{}
	next := uint64(0)
	for now := begin; now.Before(begin.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		var out []Command
		for k, at := range running {
			if now.Sub(at) >= 100*time.Millisecond {
				delete(running, k)
				out = append(out, a.Update(Ended{At: now, Key: k, Outcome: Good, Took: now.Sub(at)})...)
			}
		}
		for range 4 {
			next++
			out = append(out, a.Update(Offered{At: now, Key: key(next), Service: scriptService, Deadline: now.Add(8 * time.Second),
				TargetDeadline: now.Add(2 * time.Second), Retryable: next%2 == 0, Ready: next%2 == 0})...)
		}
		out = append(out, a.Update(Ticked{At: now})...)
		for len(out) > 0 {
			c := out[0]
			out = out[1:]
			switch c := c.(type) {
			case Grant:
				out = append(out, a.Update(Committed{At: now, Key: c.Key})...)
			case Start:
				running[c.Key] = now
				starts = append(starts, now)
			}
		}
	}
	most := 0
	for i := range starts {
		count := 0
		for _, s := range starts[i:] {
			if s.Sub(starts[i]) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	assert.LessOrEqual(t, most, rate, "starts within a second")
	assert.GreaterOrEqual(t, len(starts), 2*rate, "starts go on at the allowed rate")
}
