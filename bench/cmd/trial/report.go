package main

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderfold/bench/fleet"
)

// report is what a policy did in a scenario, over all seeds.
type report struct {
	Deployment     string  `json:"deployment"`
	Scenario       string  `json:"scenario"`
	Policy         string  `json:"policy"`
	Seeds          int     `json:"seeds"`
	Requests       int     `json:"requests"`
	Answered       float64 `json:"answered"`
	Detections     int     `json:"detections"`
	Missed         int     `json:"missed"`
	DetectionP50   float64 `json:"detection_ms_p50"`
	DetectionP99   float64 `json:"detection_ms_p99"`
	DetectionMax   float64 `json:"detection_ms_max"`
	FalseEjections int     `json:"false_ejections"`
	HealthyLost    float64 `json:"healthy_upstream_seconds_lost"`
	Keyed          int     `json:"keyed"`
	Doubled        int     `json:"doubled"`
	NotRunButRan   int     `json:"not_run_but_ran"`
	Unknown        int     `json:"unknown"`
	NotRun         int     `json:"not_run"`
	WrongOrCut     int     `json:"wrong_or_cut_answers"`
	FloorBreaches  int     `json:"floor_breaches"`
	P50            float64 `json:"p50_ms"`
	P99            float64 `json:"p99_ms"`
	HealthyP99     float64 `json:"healthy_p99_ms"`
	SickP99        float64 `json:"sick_p99_ms"` // After the median detection.
	WorkRatio      float64 `json:"work_ratio"`  // Work started over requests sent.
	StoreReads     float64 `json:"store_reads_per_s"`
	StoreWrites    float64 `json:"store_writes_per_s"`
	ControlBytes   float64 `json:"control_bytes_per_s"` // Mean of the nodes.
	ControlMax     float64 `json:"control_bytes_per_s_max"`
	CPU            float64 `json:"cpu_cores"` // Mean of the nodes, with their traffic.
	RSS            float64 `json:"rss_mb_max"`
	// Results counts what was not a good answer, by Eiderfold-Result or status.
	Results map[string]int `json:"results"`

	detections []float64
	all        *hdrhistogram.Histogram
	healthy    *hdrhistogram.Histogram
	sick       *hdrhistogram.Histogram
	good       int
	scenario   *scenario
	outcomes   []*outcome
}

const (
	leastLatency  = 1          // Microseconds.
	mostLatency   = 60_000_000 // Microseconds.
	digits        = 3
	microPerMilli = 1000.0
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, digits)
}

func newReport(d *fleet.Deployment, s *scenario, policy string) *report {
	return &report{
		Deployment: d.Name, Scenario: s.Name, Policy: policy, scenario: s,
		Results: map[string]int{}, all: newHistogram(), healthy: newHistogram(), sick: newHistogram(),
	}
}

func (r *report) add(o *outcome) {
	r.Seeds++
	r.outcomes = append(r.outcomes, o)
	r.detections = append(r.detections, o.detections...)
	r.Missed += o.missed
	r.FalseEjections += o.watch.wrong
	r.HealthyLost += o.watch.lost
	r.FloorBreaches += o.watch.breaches
	r.WorkRatio += o.work
	seconds := o.length.Seconds()
	r.StoreReads += float64(o.platform.Reads+o.platform.Watches) / seconds
	r.StoreWrites += float64(o.platform.Writes) / seconds
	r.ControlBytes += mean(o.usage.sent)
	r.ControlMax = max(r.ControlMax, slices.Max(o.usage.sent))
	r.CPU += mean(o.usage.cpu)
	r.RSS = max(r.RSS, slices.Max(o.usage.rss))
	for _, n := range o.starts {
		if n > 1 {
			r.Doubled++
		}
	}
	for _, s := range o.results {
		r.take(o, s)
	}
}

func (r *report) take(o *outcome, s sample) {
	r.Requests++
	v := s.verdict
	if v.ok {
		r.good++
		_ = r.all.RecordValue(s.latency.Microseconds()) // The load's time-out is within the range.
	}
	if !v.ok {
		r.Results[s.result]++
	}
	if v.wrong {
		r.WrongOrCut++
	}
	if v.key == "" {
		return
	}
	r.Keyed++
	if v.notRun {
		r.NotRun++
		if o.starts[v.key] > 0 {
			r.NotRunButRan++
		}
	}
	if v.unknown {
		r.Unknown++
	}
}

// finish works out what needs all runs.
func (r *report) finish() {
	r.Answered = float64(r.good) / float64(max(r.Requests, 1))
	slices.Sort(r.detections)
	r.Detections = len(r.detections)
	r.DetectionP50 = quantile(r.detections, 0.5)
	r.DetectionP99 = quantile(r.detections, 0.99)
	r.DetectionMax = quantile(r.detections, 1)
	n := float64(max(r.Seeds, 1))
	for _, f := range []*float64{&r.WorkRatio, &r.StoreReads, &r.StoreWrites, &r.ControlBytes, &r.CPU} {
		*f /= n
	}
	for _, o := range r.outcomes {
		for _, s := range o.results {
			if s.verdict.ok {
				r.sort(s)
			}
		}
	}
	r.P50 = float64(r.all.ValueAtQuantile(50)) / microPerMilli
	r.P99 = float64(r.all.ValueAtQuantile(99)) / microPerMilli
	r.HealthyP99 = float64(r.healthy.ValueAtQuantile(99)) / microPerMilli
	r.SickP99 = float64(r.sick.ValueAtQuantile(99)) / microPerMilli
}

// sort puts a good answer's time with the healthy ones before the first fault, or
// with those in a fault after its detection.
func (r *report) sort(s sample) {
	if s.at < r.scenario.Warm {
		if s.at > r.scenario.Warm/4 {
			_ = r.healthy.RecordValue(s.latency.Microseconds())
		}
		return
	}
	period := r.scenario.Sick + r.scenario.Rest
	if period == 0 {
		return
	}
	into := (s.at - r.scenario.Warm) % period
	after := time.Duration(r.DetectionP50 * float64(time.Millisecond))
	if into > after && into < r.scenario.Sick {
		_ = r.sick.RecordValue(s.latency.Microseconds())
	}
}

func sortedFloats(values []float64) []float64 {
	slices.Sort(values)
	return values
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
