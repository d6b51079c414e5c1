// Command detect measures, by simulation, how soon a gate narrows the work of an
// upstream that has begun to fail, and how often it narrows a healthy one.
//
// # Usage
//
//	detect --seeds 200 --rate 8
//
// An upstream gets requests at random times, a third of them orders. From the
// tenth second on a share of its work fails. Detection is the time until the gate
// first refuses an order; harmed are the orders that failed within ten seconds. The
// baselines eject after five failures in a row for ten seconds, and never.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"eiderfold/budget"
	"eiderfold/gate"
	"eiderfold/link"
	"eiderfold/port"
)

const (
	service     = "births"
	faultAt     = 10 * time.Second
	faultFor    = 10 * time.Second
	errorShare  = 0.012 // Errors of a healthy upstream, as the users' sites have them.
	workMean    = 200 * time.Millisecond
	workSpread  = 0.4 // Of the logarithm.
	tick        = 50 * time.Millisecond
	consecutive = 5
	banTime     = 10 * time.Second
	healthyFor  = 2 * time.Hour
)

// The shape of the load, by flags.
var (
	orderShare = 1.0 / 3
	slots      = 4
)

// policy decides whether a gate takes a request, and learns how it ended.
type policy interface {
	take(now time.Time, key uint64, retryable bool) verdict
	end(now time.Time, key uint64, o gate.Outcome, took time.Duration)
	tick(now time.Time)
}

// verdict is what becomes of a request at the gate.
type verdict uint8

const (
	taken   verdict = iota
	full            // All slots are busy; another gate gets it.
	refused         // For what speaks against the upstream.
)

// ours is the gate's own admission.
type ours struct {
	a     *gate.Admission
	trial bool
}

func newOurs(now time.Time) policy {
	a := gate.NewAdmission(service, budget.New(0, 0, now))
	a.Update(gate.Reported{At: now, Report: port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: service, Slots: slots, Sequence: 1}})
	a.Update(gate.Confirmed{At: now, Upstream: port.Incarnation{ID: "i-1"}})
	return &ours{a: a}
}

func (p *ours) take(now time.Time, key uint64, retryable bool) verdict {
	k := link.Key{Number: key}
	deadline := now.Add(time.Minute)
	for _, c := range p.a.Update(gate.Offered{At: now, Key: k, Service: service, Deadline: deadline, Aim: deadline, Retryable: retryable, Ready: true}) {
		switch c := c.(type) {
		case gate.Start:
			if c.Key == k {
				return taken
			}
		case gate.Queue:
			p.a.Update(gate.Withdrawn{At: now, Key: k}) // Another gate takes it.
			return full
		}
	}
	return refused
}

func (p *ours) end(now time.Time, key uint64, o gate.Outcome, took time.Duration) {
	p.a.Update(gate.Ended{At: now, Key: link.Key{Number: key}, Outcome: o, Took: took})
}

func (p *ours) tick(now time.Time) { p.a.Update(gate.Ticked{At: now}) }

// inARow ejects for a time after so many failures in a row; 0 for never.
type inARow struct {
	limit, bad int
	until      time.Time
}

func (p *inARow) take(now time.Time, _ uint64, _ bool) verdict {
	if now.Before(p.until) {
		return refused
	}
	return taken
}

func (p *inARow) end(now time.Time, _ uint64, o gate.Outcome, _ time.Duration) {
	if o == gate.Good {
		p.bad = 0
		return
	}
	if p.bad++; p.limit > 0 && p.bad >= p.limit {
		p.until = now.Add(banTime)
		p.bad = 0
	}
}

func (*inARow) tick(time.Time) {}

// fault is what an upstream does from faultAt on.
type fault struct {
	name    string
	share   float64
	outcome gate.Outcome
	factor  float64 // On its work; 0 for an answer at once.
}

var faults = []fault{
	{"resets 0.85", 0.85, gate.Broken, 0},
	{"resets 0.4", 0.4, gate.Broken, 0},
	{"resets 0.06", 0.06, gate.Broken, 0},
	{"errors 0.6", 0.6, gate.Erred, 1},
	{"hangs 0.6", 0.6, gate.NoEvidence, 20},
	{"silent 0.75", 0.75, gate.NoEvidence, 25},
}

// running is a request at the upstream.
type running struct {
	key     uint64
	order   bool
	ends    time.Time
	took    time.Duration
	outcome gate.Outcome
}

// result is what one run saw.
type result struct {
	detected time.Duration // faultFor if never.
	harmed   int
	refused  int // Orders refused while all was well.
	orders   int // Orders while all was well.
	answers  int // All answers.
	trials   int // How often the gate went on trial.
}

func simulate(p policy, f fault, rate, errs float64, length time.Duration, seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 9))
	start := time.Unix(1_000_000, 0)
	r := result{detected: faultFor}
	var busy []running
	key := uint64(0)
	next := start
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		before := len(busy)
		busy = settle(p, busy, now)
		r.answers += before - len(busy)
		p.tick(now)
		r.watch(p)
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			key++
			order := random.Float64() < orderShare
			sick := f.share > 0 && now.Sub(start) >= faultAt
			v := p.take(now, key, !order)
			r.count(order, sick, v, now.Sub(start)-faultAt)
			if v != taken {
				continue
			}
			q := draw(random, f, errs, sick, now, key, order)
			if sick && order && q.outcome != gate.Good {
				r.harmed++
			}
			busy = append(busy, q)
		}
	}
	return r
}

// watch counts the beginnings of trials.
func (r *result) watch(p policy) {
	o, ok := p.(*ours)
	if !ok {
		return
	}
	trial := o.a.Mode() == link.ModeTrial
	if trial && !o.trial {
		r.trials++
	}
	o.trial = trial
}

func (r *result) count(order, sick bool, v verdict, since time.Duration) {
	switch {
	case !order:
	case sick && v == refused:
		r.detected = min(r.detected, since)
	case !sick:
		r.orders++
		if v == refused {
			r.refused++
		}
	}
}

func draw(random *rand.Rand, f fault, errs float64, sick bool, now time.Time, key uint64, order bool) running {
	work := time.Duration(float64(workMean) * lognormal(random))
	q := running{key: key, order: order, took: work, outcome: gate.Good}
	switch {
	case sick && random.Float64() < f.share:
		q.took = time.Duration(f.factor * float64(work))
		q.outcome = f.outcome
	case random.Float64() < errs:
		q.outcome = gate.Erred
	}
	q.ends = now.Add(q.took)
	return q
}

func settle(p policy, busy []running, now time.Time) []running {
	return slices.DeleteFunc(busy, func(q running) bool {
		if q.ends.After(now) {
			return false
		}
		p.end(now, q.key, q.outcome, q.took)
		return true
	})
}

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "detect:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "detect", Short: "Measure detection and false alarms of a gate by simulation", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true}
	seeds := c.Flags().Uint64("seeds", 200, "runs of each fault")
	c.Flags().IntVar(&slots, "slots", slots, "slots of the upstream")
	c.Flags().Float64Var(&orderShare, "orders", orderShare, "share of orders among the requests")
	rate := c.Flags().Float64("rate", 8, "requests a second at the upstream")
	c.RunE = func(c *cobra.Command, _ []string) error {
		c.Println("| fault | policy | detection ms p50 / p99 / never | harmed orders a fault |")
		c.Println("| --- | --- | --- | --- |")
		for _, f := range faults {
			for _, name := range []string{"ours", "five in a row", "none"} {
				table(c, f, name, *rate, *seeds)
			}
		}
		healthy(c, *rate)
		return nil
	}
	return c
}

func newPolicy(name string) policy {
	switch name {
	case "ours":
		return newOurs(time.Unix(1_000_000, 0))
	case "none":
		return &inARow{}
	default:
		return &inARow{limit: consecutive}
	}
}

func table(c *cobra.Command, f fault, name string, rate float64, seeds uint64) {
	var times []time.Duration
	never, harmed := 0, 0
	for seed := range seeds {
		r := simulate(newPolicy(name), f, rate, errorShare, faultAt+faultFor, seed)
		times = append(times, r.detected)
		harmed += r.harmed
		if r.detected == faultFor {
			never++
		}
	}
	slices.Sort(times)
	c.Printf("| %s | %s | %d / %d / %d of %d | %.1f |\n", f.name, name, times[len(times)/2].Milliseconds(),
		times[len(times)*99/100].Milliseconds(), never, seeds, float64(harmed)/float64(seeds))
}

// healthy looks for false alarms, with the errors that the users' sites have and with none.
func healthy(c *cobra.Command, rate float64) {
	c.Println("\n| nothing wrong | orders | refused | answers | trials |")
	c.Println("| --- | --- | --- | --- | --- |")
	for _, errs := range []float64{errorShare, 0} {
		for _, name := range []string{"ours", "five in a row"} {
			r := simulate(newPolicy(name), fault{}, rate, errs, healthyFor, 1)
			c.Printf("| %s, errors %v | %d | %d | %d | %d |\n", name, errs, r.orders, r.refused, r.answers, r.trials)
		}
	}
}
