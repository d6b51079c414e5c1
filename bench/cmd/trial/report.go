package main

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderfold/bench/fleet"
)

// report holds the figures of a policy in a scenario, over all seeds.
type report struct {
	Deployment         string  `json:"deployment"`
	Scenario           string  `json:"scenario"`
	Policy             string  `json:"policy"`
	Seeds              int     `json:"seeds"`
	Requests           int     `json:"requests"`
	Answered           float64 `json:"answered"`
	Detections         int     `json:"detections"`
	Missed             int     `json:"missed"`
	DetectionP50       float64 `json:"detection_ms_p50"`
	DetectionP99       float64 `json:"detection_ms_p99"`
	DetectionMax       float64 `json:"detection_ms_max"`
	FalseEjections     int     `json:"false_ejections"`
	HealthySecondsLost float64 `json:"healthy_upstream_seconds_lost"`
	Keyed              int     `json:"keyed"`
	DuplicateRuns      int     `json:"doubled"`
	NotRunButRan       int     `json:"not_run_but_ran"`
	Unknown            int     `json:"unknown"`
	NotRun             int     `json:"not_run"`
	WrongOrTruncated   int     `json:"wrong_or_cut_answers"`
	FloorBreaches      int     `json:"floor_breaches"`
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	HealthyP99         float64 `json:"healthy_p99_ms"`
	FaultP99           float64 `json:"sick_p99_ms"` // After the median detection.
	WorkRatio          float64 `json:"work_ratio"`  // Work started over requests sent.
	StoreReads         float64 `json:"store_reads_per_s"`
	StoreWrites        float64 `json:"store_writes_per_s"`
	ControlBytes       float64 `json:"control_bytes_per_s"` // Mean of the nodes.
	ControlMax         float64 `json:"control_bytes_per_s_max"`
	CPU                float64 `json:"cpu_cores"` // Mean of the nodes, including their traffic.
	RSS                float64 `json:"rss_mb_max"`
	// Results counts unsuccessful requests by Eiderfold-Result and status.
	Results map[string]int `json:"results"`

	detections  []float64
	all         *hdrhistogram.Histogram
	healthy     *hdrhistogram.Histogram
	duringFault *hdrhistogram.Histogram
	okCount     int
	scenario    *scenario
	outcomes    []*outcome
}

const (
	minLatency        = 1          // Microseconds.
	maxLatency        = 60_000_000 // Microseconds.
	significantDigits = 3
	microPerMilli     = 1000.0
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
}

func newReport(d *fleet.Deployment, s *scenario, policy string) *report {
	return &report{
		Deployment: d.Name, Scenario: s.Name, Policy: policy, scenario: s,
		Results: map[string]int{}, all: newHistogram(), healthy: newHistogram(), duringFault: newHistogram(),
	}
}

func (r *report) add(o *outcome) {
	r.Seeds++
	r.outcomes = append(r.outcomes, o)
	r.detections = append(r.detections, o.detections...)
	r.Missed += o.missed
	r.FalseEjections += o.watch.falseEjections
	r.HealthySecondsLost += o.watch.healthyLost
	r.FloorBreaches += o.watch.floorBreaches
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
			r.DuplicateRuns++
		}
	}
	for _, s := range o.results {
		r.addSample(o, s)
	}
}

func (r *report) addSample(o *outcome, s sample) {
	r.Requests++
	v := s.classification
	if v.ok {
		r.okCount++
		_ = r.all.RecordValue(s.latency.Microseconds()) // loadTimeout is within the range.
	}
	if !v.ok {
		r.Results[s.result]++
	}
	if v.wrong {
		r.WrongOrTruncated++
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

// finish computes the figures that depend on all runs.
func (r *report) finish() {
	r.Answered = float64(r.okCount) / float64(max(r.Requests, 1))
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
			if s.classification.ok {
				r.recordLatency(s)
			}
		}
	}
	r.P50 = float64(r.all.ValueAtQuantile(50)) / microPerMilli
	r.P99 = float64(r.all.ValueAtQuantile(99)) / microPerMilli
	r.HealthyP99 = float64(r.healthy.ValueAtQuantile(99)) / microPerMilli
	r.FaultP99 = float64(r.duringFault.ValueAtQuantile(99)) / microPerMilli
}

// recordLatency records the latency of a successful request that was sent before the first
// fault, without the start of the warmup, or during a fault after its median detection.
func (r *report) recordLatency(s sample) {
	if s.at < r.scenario.Warmup {
		if s.at > r.scenario.Warmup/4 {
			_ = r.healthy.RecordValue(s.latency.Microseconds())
		}
		return
	}
	period := r.scenario.FaultFor + r.scenario.Recovery
	if period == 0 {
		return
	}
	into := (s.at - r.scenario.Warmup) % period
	after := time.Duration(r.DetectionP50 * float64(time.Millisecond))
	if into > after && into < r.scenario.FaultFor {
		_ = r.duringFault.RecordValue(s.latency.Microseconds())
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
