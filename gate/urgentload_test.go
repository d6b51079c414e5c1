package gate

import (
	"testing"
	"time"

	"eiderfold/budget"
	"eiderfold/port"
)

// BenchmarkOfferBehindQueue offers requests to a gate in whose queue a thousand others wait.
func BenchmarkOfferBehindQueue(b *testing.B) {
	const slots, waiting = 80, 1000
	now := time.Unix(1_000_000, 0)
	a := NewAdmission(scriptService, budget.New(1, 400, time.Time{}))
	upstream := port.Incarnation{ID: "i-1"}
	a.Update(Reported{At: now, Report: port.Report{Incarnation: upstream, Service: scriptService, Slots: slots, Sequence: 1}})
	a.Update(Confirmed{At: now, Upstream: upstream})
	offer := func(n uint64) Offered {
		o := offerStep{Key: n, Retryable: true, Ready: true, Left: 20 * time.Second, Aim: time.Second}
		if n%2 == 1 {
			o.Priority, o.Aim = 2, 6*time.Second
		}
		return o.message(now)
	}
	for n := range uint64(slots + waiting) {
		now = now.Add(time.Microsecond)
		a.Update(offer(n))
	}
	b.ReportAllocs()
	for n := uint64(slots + waiting); b.Loop(); n++ {
		a.Update(offer(n))
		a.Update(Withdrawn{At: now, Key: key(n)})
	}
	b.ReportMetric(float64(len(a.queue)), "waiting")
}
