package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	vegeta "github.com/tsenart/vegeta/v12/lib"

	"eiderfold/bench/fleet"
	"eiderfold/bench/standin"
)

// outcome holds the measurements of one run.
type outcome struct {
	results    []sample
	detections []float64 // Milliseconds; the length of the fault if undetected.
	missed     int
	watch      *watcher
	starts     map[string]int // Starts at upstreams by idempotency key.
	work       float64        // Work started over requests sent.
	platform   standin.PlatformCounts
	usage      usage
	length     time.Duration
}

// sample is one result.
type sample struct {
	at             time.Duration // When it was sent, after the start of the load.
	latency        time.Duration
	classification classification
	result         string
}

// round is the period of one fault, relative to the start of the load.
type round struct{ from, to time.Duration }

func runOnce(ctx context.Context, b fleet.Binaries, d *fleet.Deployment, s *scenario, policy string, seed, slot int, dir string) (*outcome, error) {
	dir, err := os.MkdirTemp(dir, fmt.Sprintf("%s-%s-%s-%d-", d.Name, s.Name, policy, seed))
	if err != nil {
		return nil, errors.Wrap(err, "run")
	}
	o := fleet.Options{Dir: dir, Seed: uint64(seed), Subnet: byte(slot), ViaFaultProxy: true}
	if policy != ours {
		o.Policy = policy
	}
	deployment := *d
	if s.Sigma > 0 {
		deployment.Sigma = s.Sigma
	}
	if s.Work > 0 {
		deployment.Work = s.Work
	}
	f, err := fleet.Start(ctx, b, &deployment, o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &runner{fleet: f, scenario: s, outcome: &outcome{length: s.length()}}
	return r.run(ctx, seed)
}

// runner drives one run.
type runner struct {
	fleet    *fleet.Fleet
	scenario *scenario
	outcome  *outcome
	rounds   []round
}

func (r *runner) run(ctx context.Context, seed int) (*outcome, error) {
	before, err := r.fleet.PlatformCounts()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	usageBefore := measureUsage(r.fleet)
	r.outcome.watch = newWatcher(r.fleet)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go r.outcome.watch.run(watching)
	injected := make(chan error, 1)
	go func() { injected <- r.injectFaults(ctx, started) }()
	newLoad(r.fleet, r.scenario, seed).attack(r.scenario.length(), func(v *vegeta.Result) {
		r.outcome.results = append(r.outcome.results, sample{at: v.Timestamp.Sub(started), latency: v.Latency, classification: classify(v), result: resultText(v)})
	})
	if err := <-injected; err != nil {
		return nil, err
	}
	stop()
	r.outcome.usage = measureUsage(r.fleet).since(usageBefore, time.Since(started))
	if r.outcome.platform, err = r.fleet.PlatformCounts(); err != nil {
		return nil, err
	}
	r.outcome.platform.Reads -= before.Reads
	r.outcome.platform.Writes -= before.Writes
	r.outcome.platform.Watches -= before.Watches
	return r.outcome, r.countStarts()
}

// resultText names the result of a request.
func resultText(v *vegeta.Result) string {
	if number := v.Headers.Get("Eiderfold-Result"); number != "" {
		return number + "/" + strconv.Itoa(int(v.Code))
	}
	if v.Error != "" {
		return "no answer"
	}
	return strconv.Itoa(int(v.Code))
}

// injectFaults injects the scenario's faults, one round after the other.
func (r *runner) injectFaults(ctx context.Context, started time.Time) error {
	s := r.scenario
	time.Sleep(s.Warmup)
	for i := range s.Rounds {
		victims := r.victims(i)
		from := time.Since(started)
		if err := r.startFault(ctx, i, victims); err != nil {
			return err
		}
		time.Sleep(s.FaultFor)
		r.recordDetections(victims)
		if err := r.endFault(ctx, i, victims); err != nil {
			return err
		}
		r.rounds = append(r.rounds, round{from: from, to: time.Since(started)})
		time.Sleep(s.Recovery)
	}
	return nil
}

// victims returns the names of the upstreams that are faulty in a round.
func (r *runner) victims(round int) []string {
	service := r.fleet.Deployment.Services[r.scenario.Service]
	n := r.scenario.Victims
	if n < 0 {
		n = service.Upstreams
	}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%s-%d", service.Name, (round*max(n, 1)+i)%service.Upstreams+1))
	}
	return names
}

func (r *runner) startFault(ctx context.Context, i int, victims []string) error {
	if !r.scenario.NoEjection {
		r.outcome.watch.markFaulty(victims)
	}
	if err := r.setLinks(victims); err != nil {
		return err
	}
	if r.scenario.Platform.Out {
		if err := r.fleet.SetPlatformFaults(standin.PlatformFaults{Outage: true}); err != nil {
			return err
		}
	}
	if r.scenario.NodeFault != "" {
		go r.injectNodeFault(ctx, r.fleet.Nodes[i%len(r.fleet.Nodes)])
	}
	for _, v := range victims {
		if r.scenario.Replace {
			if err := r.fleet.ReplaceUpstream(ctx, v); err != nil {
				return err
			}
		}
		if err := r.fleet.SetMode(v, r.scenario.Mode.mode()); err != nil {
			return err
		}
	}
	return nil
}

const pauseLength = 5 * time.Second

func (r *runner) injectNodeFault(ctx context.Context, n *fleet.Node) {
	switch r.scenario.NodeFault {
	case "kill":
		n.Kill()
	case "stop":
		n.Stop()
	case "pause":
		_ = n.Signal(syscall.SIGSTOP)
		time.Sleep(min(pauseLength, r.scenario.FaultFor))
		_ = n.Signal(syscall.SIGCONT)
		return
	}
	if err := r.fleet.Restart(ctx, n); err != nil {
		fmt.Fprintln(os.Stderr, "trial: restart:", err)
	}
}

func (r *runner) setLinks(victims []string) error {
	var rules []standin.Rule
	for _, cut := range r.scenario.Links {
		from := ""
		if cut.Node > 0 {
			from = r.fleet.Nodes[cut.Node-1].IP
		}
		names := victims
		if cut.To == "nodes" {
			names = nil
			for _, n := range r.fleet.Nodes {
				names = append(names, n.Name)
			}
		}
		for _, to := range names {
			rules = append(rules, standin.Rule{From: from, To: to, DropOutbound: cut.CutOut, DropInbound: cut.CutIn, Reset: cut.Reset, Delay: cut.Delay, TruncateAfter: cut.Half})
		}
	}
	return r.fleet.SetRules(append(rules, r.fleet.PartitionRules(r.scenario.DataCentre)...))
}

func (r *runner) endFault(_ context.Context, _ int, victims []string) error {
	for _, v := range victims {
		if err := r.fleet.SetMode(v, standin.Mode{}); err != nil {
			return err
		}
	}
	if r.scenario.Platform.Out {
		if err := r.fleet.SetPlatformFaults(standin.PlatformFaults{}); err != nil {
			return err
		}
	}
	return r.fleet.SetRules(nil)
}

const (
	detectionWindow = 1000 // Milliseconds.
	detectedShare   = 0.2  // Of the rate of a healthy upstream.
)

// recordDetections records when each faulty upstream stopped receiving most requests.
func (r *runner) recordDetections(victims []string) {
	if r.scenario.Victims <= 0 || r.scenario.NoEjection || len(r.scenario.Links) > 0 {
		return
	}
	for _, v := range victims {
		c, err := r.fleet.Counts(v)
		if err != nil {
			continue
		}
		at, ok := detectionTime(c.Arrivals, r.scenario.Rate, r.scenario.FaultFor.Milliseconds())
		r.outcome.detections = append(r.outcome.detections, at)
		if !ok {
			r.outcome.missed++
		}
	}
}

// detectionTime returns the start, in milliseconds, of the first window with few arrivals, and
// whether there is one before the fault ends.
func detectionTime(arrivals []int64, rate float64, faultMillis int64) (float64, bool) {
	maxArrivals := int(rate * detectionWindow / 1000 * detectedShare)
	candidates := append([]int64{0}, arrivals...)
	for i, at := range candidates {
		if at+detectionWindow > faultMillis {
			break
		}
		n := 0
		for _, h := range candidates[i+1:] {
			if h <= at+detectionWindow {
				n++
			}
		}
		if n <= maxArrivals {
			return float64(at), true
		}
	}
	return float64(faultMillis), false
}

// countStarts reads the upstreams' logs and counts starts by key and in total.
func (r *runner) countStarts() error {
	r.outcome.starts = map[string]int{}
	work := 0
	for _, u := range r.fleet.Upstreams {
		text, err := os.ReadFile(filepath.Clean(u.StartLog))
		if err != nil {
			return errors.Wrap(err, "starts")
		}
		for line := range strings.Lines(string(text)) {
			work++
			if fields := strings.Split(line, " "); len(fields) > 1 && fields[1] != "" {
				r.outcome.starts[fields[1]]++
			}
		}
	}
	r.outcome.work = float64(work) / float64(max(len(r.outcome.results), 1))
	return nil
}
