// Command detect measures, by simulation, how soon a gate restricts the requests to an
// upstream that starts to fail, and how often it restricts a healthy one.
//
// # Usage
//
//	detect --seeds 200 --rate 8
//
// An upstream receives requests at random times, a third of them orders. From faultAt
// on a share of them fails. Detection is the time until the gate first refuses an order;
// "harmed" counts the orders that failed within faultFor. One baseline ejects for ten
// seconds after five consecutive failures, the other one never ejects.
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
	service          = "births"
	faultAt          = 10 * time.Second
	faultFor         = 10 * time.Second
	errorShare       = 0.012 // Error rate of a healthy upstream at the users' sites.
	workMean         = 200 * time.Millisecond
	workSpread       = 0.4 // Standard deviation of the logarithm of the work time.
	tick             = 50 * time.Millisecond
	consecutiveLimit = 5
	ejectionTime     = 10 * time.Second
	healthyFor       = 2 * time.Hour
)

// The shape of the load, set by flags.
var (
	orderShare = 1.0 / 3
	slots      = 4
)

// policy decides whether a gate admits a request, and receives its outcome.
type policy interface {
	admit(now time.Time, key uint64, retryable bool) decision
	done(now time.Time, key uint64, o gate.Outcome, took time.Duration)
	tick(now time.Time)
}

// decision is what a policy does with a request.
type decision uint8

const (
	admitted decision = iota
	full              // All slots are busy; the request goes to another gate.
	refused           // Because of evidence against the upstream.
)

// gatePolicy applies the gate's own admission.
type gatePolicy struct {
	a     *gate.Admission
	trial bool
}

func newGatePolicy(now time.Time) policy {
	a := gate.NewAdmission(service, budget.New(0, 0, now))
	a.Update(gate.Reported{At: now, Report: port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: service, Slots: slots, Sequence: 1}})
	a.Update(gate.Confirmed{At: now, Upstream: port.Incarnation{ID: "i-1"}})
	return &gatePolicy{a: a}
}

func (p *gatePolicy) admit(now time.Time, key uint64, retryable bool) decision {
	k := link.Key{Number: key}
	deadline := now.Add(time.Minute)
	for _, c := range p.a.Update(gate.Offered{At: now, Key: k, Service: service, Deadline: deadline, TargetDeadline: deadline, Retryable: retryable, Ready: true}) {
		switch c := c.(type) {
		case gate.Start:
			if c.Key == k {
				return admitted
			}
		case gate.Queue:
			p.a.Update(gate.Withdrawn{At: now, Key: k}) // Another gate admits it.
			return full
		}
	}
	return refused
}

func (p *gatePolicy) done(now time.Time, key uint64, o gate.Outcome, took time.Duration) {
	p.a.Update(gate.Ended{At: now, Key: link.Key{Number: key}, Outcome: o, Took: took})
}

func (p *gatePolicy) tick(now time.Time) { p.a.Update(gate.Ticked{At: now}) }

// consecutivePolicy ejects for ejectionTime after limit consecutive failures; 0 means never.
type consecutivePolicy struct {
	limit, failures int
	until           time.Time
}

func (p *consecutivePolicy) admit(now time.Time, _ uint64, _ bool) decision {
	if now.Before(p.until) {
		return refused
	}
	return admitted
}

func (p *consecutivePolicy) done(now time.Time, _ uint64, o gate.Outcome, _ time.Duration) {
	if o == gate.Good {
		p.failures = 0
		return
	}
	if p.failures++; p.limit > 0 && p.failures >= p.limit {
		p.until = now.Add(ejectionTime)
		p.failures = 0
	}
}

func (*consecutivePolicy) tick(time.Time) {}

// fault describes how an upstream behaves from faultAt on.
type fault struct {
	name    string
	share   float64 // Of requests that fail.
	outcome gate.Outcome
	factor  float64 // Multiplies the work time of a failed request; 0 responds at once.
}

var faults = []fault{
	{"resets 0.85", 0.85, gate.Broken, 0},
	{"resets 0.4", 0.4, gate.Broken, 0},
	{"resets 0.06", 0.06, gate.Broken, 0},
	{"errors 0.6", 0.6, gate.Erred, 1},
	{"hangs 0.6", 0.6, gate.NoEvidence, 20},
	{"silent 0.75", 0.75, gate.NoEvidence, 25},
}

// request is a request in flight at the upstream.
type request struct {
	key     uint64
	order   bool
	ends    time.Time
	took    time.Duration
	outcome gate.Outcome
}

// result holds the figures of one run.
type result struct {
	detected     time.Duration // faultFor if undetected.
	failedOrders int
	refused      int // Orders refused without a fault.
	orders       int // Orders without a fault.
	answers      int // Finished requests.
	trials       int // Transitions of the gate to its trial mode.
}

func simulate(p policy, f fault, rate, errorRate float64, length time.Duration, seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 9))
	start := time.Unix(1_000_000, 0)
	r := result{detected: faultFor}
	var inFlight []request
	key := uint64(0)
	next := start
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		before := len(inFlight)
		inFlight = finish(p, inFlight, now)
		r.answers += before - len(inFlight)
		p.tick(now)
		r.countTrials(p)
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			key++
			order := random.Float64() < orderShare
			faulty := f.share > 0 && now.Sub(start) >= faultAt
			v := p.admit(now, key, !order)
			r.record(order, faulty, v, now.Sub(start)-faultAt)
			if v != admitted {
				continue
			}
			req := newRequest(random, f, errorRate, faulty, now, key, order)
			if faulty && order && req.outcome != gate.Good {
				r.failedOrders++
			}
			inFlight = append(inFlight, req)
		}
	}
	return r
}

// countTrials counts transitions of the gate to its trial mode.
func (r *result) countTrials(p policy) {
	o, ok := p.(*gatePolicy)
	if !ok {
		return
	}
	trial := o.a.Mode() == link.ModeTrial
	if trial && !o.trial {
		r.trials++
	}
	o.trial = trial
}

func (r *result) record(order, faulty bool, v decision, since time.Duration) {
	switch {
	case !order:
	case faulty && v == refused:
		r.detected = min(r.detected, since)
	case !faulty:
		r.orders++
		if v == refused {
			r.refused++
		}
	}
}

func newRequest(random *rand.Rand, f fault, errorRate float64, faulty bool, now time.Time, key uint64, order bool) request {
	work := time.Duration(float64(workMean) * lognormal(random))
	req := request{key: key, order: order, took: work, outcome: gate.Good}
	switch {
	case faulty && random.Float64() < f.share:
		req.took = time.Duration(f.factor * float64(work))
		req.outcome = f.outcome
	case random.Float64() < errorRate:
		req.outcome = gate.Erred
	}
	req.ends = now.Add(req.took)
	return req
}

func finish(p policy, inFlight []request, now time.Time) []request {
	return slices.DeleteFunc(inFlight, func(req request) bool {
		if req.ends.After(now) {
			return false
		}
		p.done(now, req.key, req.outcome, req.took)
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
				printFault(c, f, name, *rate, *seeds)
			}
		}
		printHealthy(c, *rate)
		return nil
	}
	return c
}

func newPolicy(name string) policy {
	switch name {
	case "ours":
		return newGatePolicy(time.Unix(1_000_000, 0))
	case "none":
		return &consecutivePolicy{}
	default:
		return &consecutivePolicy{limit: consecutiveLimit}
	}
}

func printFault(c *cobra.Command, f fault, name string, rate float64, seeds uint64) {
	var times []time.Duration
	undetected, failedOrders := 0, 0
	for seed := range seeds {
		r := simulate(newPolicy(name), f, rate, errorShare, faultAt+faultFor, seed)
		times = append(times, r.detected)
		failedOrders += r.failedOrders
		if r.detected == faultFor {
			undetected++
		}
	}
	slices.Sort(times)
	c.Printf("| %s | %s | %d / %d / %d of %d | %.1f |\n", f.name, name, times[len(times)/2].Milliseconds(),
		times[len(times)*99/100].Milliseconds(), undetected, seeds, float64(failedOrders)/float64(seeds))
}

// printHealthy prints the false alarms of a healthy upstream, with the error rate of the
// users' sites and without errors.
func printHealthy(c *cobra.Command, rate float64) {
	c.Println("\n| nothing wrong | orders | refused | answers | trials |")
	c.Println("| --- | --- | --- | --- | --- |")
	for _, errorRate := range []float64{errorShare, 0} {
		for _, name := range []string{"ours", "five in a row"} {
			r := simulate(newPolicy(name), fault{}, rate, errorRate, healthyFor, 1)
			c.Printf("| %s, errors %v | %d | %d | %d | %d |\n", name, errorRate, r.orders, r.refused, r.answers, r.trials)
		}
	}
}
