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

// outcome is what one run measured.
type outcome struct {
	results    []sample
	detections []float64 // Milliseconds; the length of the fault if never.
	missed     int
	watch      *watcher
	starts     map[string]int // By key.
	work       float64        // Work started over requests sent.
	platform   standin.PlatformCounts
	usage      usage
	length     time.Duration
}

// sample is one result, and when it was sent after the start of the load.
type sample struct {
	at      time.Duration
	latency time.Duration
	verdict verdict
	result  string
}

// round is a time of the run in which something was wrong.
type round struct{ from, to time.Duration }

func runOnce(ctx context.Context, b fleet.Binaries, d *fleet.Deployment, s *scenario, policy string, seed, slot int, dir string) (*outcome, error) {
	dir, err := os.MkdirTemp(dir, fmt.Sprintf("%s-%s-%s-%d-", d.Name, s.Name, policy, seed))
	if err != nil {
		return nil, errors.Wrap(err, "run")
	}
	o := fleet.Options{Dir: dir, Seed: uint64(seed), Base: byte(slot), Linked: true}
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
	spent := measure(r.fleet)
	r.outcome.watch = newWatcher(r.fleet)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go r.outcome.watch.run(watching)
	failed := make(chan error, 1)
	go func() { failed <- r.disturb(ctx, started) }()
	newLoad(r.fleet, r.scenario, seed).attack(r.scenario.length(), func(v *vegeta.Result) {
		r.outcome.results = append(r.outcome.results, sample{at: v.Timestamp.Sub(started), latency: v.Latency, verdict: judge(v), result: resultOf(v)})
	})
	if err := <-failed; err != nil {
		return nil, err
	}
	stop()
	r.outcome.usage = measure(r.fleet).since(spent, time.Since(started))
	if r.outcome.platform, err = r.fleet.PlatformCounts(); err != nil {
		return nil, err
	}
	r.outcome.platform.Reads -= before.Reads
	r.outcome.platform.Writes -= before.Writes
	r.outcome.platform.Watches -= before.Watches
	return r.outcome, r.countStarts()
}

// resultOf names how a request ended.
func resultOf(v *vegeta.Result) string {
	if number := v.Headers.Get("Eiderfold-Result"); number != "" {
		return number + "/" + strconv.Itoa(int(v.Code))
	}
	if v.Error != "" {
		return "no answer"
	}
	return strconv.Itoa(int(v.Code))
}

// disturb lets things go wrong, round by round.
func (r *runner) disturb(ctx context.Context, started time.Time) error {
	s := r.scenario
	time.Sleep(s.Warm)
	for i := range s.Rounds {
		victims := r.victims(i)
		from := time.Since(started)
		if err := r.begin(ctx, i, victims); err != nil {
			return err
		}
		time.Sleep(s.Sick)
		r.detect(victims)
		if err := r.end(ctx, i, victims); err != nil {
			return err
		}
		r.rounds = append(r.rounds, round{from: from, to: time.Since(started)})
		time.Sleep(s.Rest)
	}
	return nil
}

// victims names the upstreams that are sick in a round.
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

func (r *runner) begin(ctx context.Context, i int, victims []string) error {
	if !r.scenario.Blameless {
		r.outcome.watch.sick(victims)
	}
	if err := r.setLinks(victims); err != nil {
		return err
	}
	if r.scenario.Platform.Out {
		if err := r.fleet.SetPlatform(standin.PlatformFaults{Out: true}); err != nil {
			return err
		}
	}
	if r.scenario.Node != "" {
		go r.disturbNode(ctx, r.fleet.Nodes[i%len(r.fleet.Nodes)])
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

func (r *runner) disturbNode(ctx context.Context, n *fleet.Node) {
	switch r.scenario.Node {
	case "kill":
		n.Kill()
	case "stop":
		n.Stop()
	case "pause":
		_ = n.Signal(syscall.SIGSTOP)
		time.Sleep(min(pauseLength, r.scenario.Sick))
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
			rules = append(rules, standin.Rule{From: from, To: to, CutOut: cut.CutOut, CutIn: cut.CutIn, Reset: cut.Reset, Delay: cut.Delay, Half: cut.Half})
		}
	}
	return r.fleet.SetRules(append(rules, r.fleet.CutOff(r.scenario.DataCentre)...))
}

func (r *runner) end(_ context.Context, _ int, victims []string) error {
	for _, v := range victims {
		if err := r.fleet.SetMode(v, standin.Mode{}); err != nil {
			return err
		}
	}
	if r.scenario.Platform.Out {
		if err := r.fleet.SetPlatform(standin.PlatformFaults{}); err != nil {
			return err
		}
	}
	return r.fleet.SetRules(nil)
}

const (
	detectionWindow = 1000 // Milliseconds.
	detectedShare   = 0.2  // Of what the upstream got while it was well.
)

// detect tells from when on a sick upstream got next to no work.
func (r *runner) detect(victims []string) {
	if r.scenario.Victims <= 0 || r.scenario.Blameless || len(r.scenario.Links) > 0 {
		return
	}
	for _, v := range victims {
		c, err := r.fleet.Counts(v)
		if err != nil {
			continue
		}
		at, ok := detected(c.Hits, r.scenario.Rate, r.scenario.Sick.Milliseconds())
		r.outcome.detections = append(r.outcome.detections, at)
		if !ok {
			r.outcome.missed++
		}
	}
}

// detected returns the first moment after which a window holds few hits.
func detected(hits []int64, rate float64, sick int64) (float64, bool) {
	most := int(rate * detectionWindow / 1000 * detectedShare)
	candidates := append([]int64{0}, hits...)
	for i, at := range candidates {
		if at+detectionWindow > sick {
			break
		}
		n := 0
		for _, h := range candidates[i+1:] {
			if h <= at+detectionWindow {
				n++
			}
		}
		if n <= most {
			return float64(at), true
		}
	}
	return float64(sick), false
}

// countStarts reads which keys were started, and how much work there was.
func (r *runner) countStarts() error {
	r.outcome.starts = map[string]int{}
	work := 0
	for _, u := range r.fleet.Upstreams {
		text, err := os.ReadFile(filepath.Clean(u.Starts))
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
