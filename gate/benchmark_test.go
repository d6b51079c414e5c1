package gate

import (
	"testing"
	"time"

	"eiderfold/budget"
	"eiderfold/port"
)

const (
	benchmarkSlots   = 80
	benchmarkWaiting = 1000
)

// BenchmarkOfferBehindQueue offers requests to a gate in whose queue a thousand others wait.
func BenchmarkOfferBehindQueue(b *testing.B) {
	now, a := benchmarkGate()
	offer := func(n uint64) Offered {
		o := offerStep{Key: n, Retryable: true, Ready: true, Left: 20 * time.Second, Aim: time.Second}
		if n%2 == 1 {
			o.Priority, o.Aim = 2, 6*time.Second
		}
		return o.message(now)
	}
	for n := range uint64(benchmarkSlots + benchmarkWaiting) {
		now = now.Add(time.Microsecond)
		a.Update(offer(n))
	}
	benchmarkOffers(b, a, offer)
}

// BenchmarkOfferInDoubt offers orders to a gate in whose queue a thousand others wait because of doubt.
func BenchmarkOfferInDoubt(b *testing.B) {
	now, a := benchmarkGate()
	a.Update(offerStep{Key: 1 << 40, Retryable: true, Ready: true}.message(now))
	a.Update(Ended{At: now, Key: key(1 << 40), Outcome: Erred})
	offer := func(n uint64) Offered { return offerStep{Key: n, Left: 20 * time.Second}.message(now) }
	for n := range uint64(benchmarkWaiting) {
		now = now.Add(time.Microsecond)
		a.Update(offer(n))
	}
	benchmarkOffers(b, a, offer)
}

// benchmarkGate returns an open admission.
func benchmarkGate() (time.Time, *Admission) {
	now := time.Unix(1_000_000, 0)
	a := NewAdmission(scriptService, budget.New(1, 400, time.Time{}))
	upstream := port.Incarnation{ID: "i-1"}
	a.Update(Reported{At: now, Report: port.Report{Incarnation: upstream, Service: scriptService, Slots: benchmarkSlots, Sequence: 1}})
	a.Update(Confirmed{At: now, Upstream: upstream})
	return now, a
}

// benchmarkOffers makes and withdraws offers.
func benchmarkOffers(b *testing.B, a *Admission, offer func(n uint64) Offered) {
	b.ReportAllocs()
	for n := uint64(benchmarkSlots + benchmarkWaiting); b.Loop(); n++ {
		o := offer(n)
		a.Update(o)
		a.Update(Withdrawn{At: o.At, Key: o.Key})
	}
	b.ReportMetric(float64(len(a.queue)), "waiting")
}
