package core

import (
	"math"
	"slices"
	"time"
)

// Parameters of the sequential test. For every upstream, a cumulative sum of
// log-likelihood ratios (CUSUM, Page 1954) tests whether it has become worse than the
// service's other upstreams. A sum reaches h by a false alarm at most once in e^h
// observations (Lorden 1971); the threshold follows from that and `sensitivity`.
const (
	healthyFailures = 0.005 // Lowest failure rate assumed of a healthy upstream; rarer failures are not informative.
	healthySlow     = 0.10  // The same for slow responses: twice the share above the latency percentile.
	maxRate         = 0.98  // Upper limit of rates, so that log(1-rate) stays finite.
	// minRateRatio is the minimum ratio of an alternative's rate to that of the others for a
	// fault to be attributed to the upstream rather than to the whole service.
	minRateRatio = 1.5
)

// alternative is an alternative hypothesis of the test: a rate of failures or of slow
// responses of an unhealthy upstream.
type alternative struct {
	slow bool
	rate float64
}

var alternatives = [...]alternative{
	{slow: false, rate: 0.5},
	{slow: false, rate: 0.08},
	{slow: true, rate: 0.9},
	{slow: true, rate: 0.5},
	{slow: true, rate: 0.25},
}

// Limits of how much a score may rise per burstInterval. Bad outcomes in a burst are not
// independent: a pause of an upstream makes all of its running requests slow.
// Therefore evidence against an upstream counts at a limited rate, about three
// failures or two slow responses per burstInterval. Evidence in its favour is not limited.
const (
	maxFailureGain = 14.0
	maxSlowGain    = 4.5
	burstInterval  = 250 * time.Millisecond
)

// maxGain returns the maximum rise of the alternative's score per burstInterval.
func (a alternative) maxGain() float64 {
	if a.slow {
		return maxSlowGain
	}
	return maxFailureGain
}

// row holds the statistics of one upstream.
type row struct {
	failures rate
	slow     rate
	sum      tally // Of all observations.
	scores   [len(alternatives)]float64
	// remainingGain is how much each score may still rise now; refill replenishes it with time.
	remainingGain [len(alternatives)]float64
	refilledAt    time.Time
	// since holds every row's tally as of the last time this upstream's score was
	// below lowScore, so that all upstreams are compared over the same period.
	since map[string]tally
	// byReporter holds each reporter's contribution to the current score.
	byReporter map[string]float64
}

// scoreTable holds the statistics of all upstreams of a service.
type scoreTable struct {
	rows map[string]*row
}

func newScoreTable() scoreTable { return scoreTable{rows: map[string]*row{}} }

// setUpstreams adds and removes rows to match the live upstreams.
func (p *scoreTable) setUpstreams(upstreams []string) {
	live := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		live[u] = true
		if p.rows[u] == nil {
			p.rows[u] = &row{byReporter: map[string]float64{}}
		}
	}
	for u := range p.rows {
		if !live[u] {
			delete(p.rows, u)
		}
	}
}

// observe adds one node's counts. All rates are updated before any score, because a
// failure of the whole service shows in the same counts.
func (p *scoreTable) observe(at time.Time, reporter string, counts []Count) {
	for _, c := range counts {
		if r := p.rows[c.Upstream]; r != nil {
			r.failures.add(c.Failed, c.total())
			r.slow.add(c.Slow, c.Fast+c.Slow)
		}
	}
	base := p.baseline()
	for _, c := range counts {
		if r := p.rows[c.Upstream]; r != nil && c.total() > 0 {
			r.refill(at)
			r.add(base, reporter, c)
		}
	}
	for _, c := range counts {
		if r := p.rows[c.Upstream]; r != nil {
			r.sum = r.sum.plus(c)
		}
	}
}

// add updates the row's scores with one node's count.
func (r *row) add(base *baseline, reporter string, c Count) {
	failures, slow := base.rates(r)
	before := r.score()
	for i, a := range alternatives {
		gain := min(evidence(a, c, failures, slow), r.remainingGain[i])
		r.remainingGain[i] -= max(gain, 0)
		r.scores[i] = max(0, r.scores[i]+gain)
	}
	after := r.score()
	if after == 0 {
		clear(r.byReporter)
	} else {
		r.byReporter[reporter] = max(0, r.byReporter[reporter]+after-before)
	}
	if before < lowScore {
		r.since = base.tallies
	}
}

// refill replenishes remainingGain by the time since the last refill.
func (r *row) refill(at time.Time) {
	intervals := at.Sub(r.refilledAt).Seconds() / burstInterval.Seconds()
	if r.refilledAt.IsZero() {
		intervals = 1
	}
	r.refilledAt = at
	for i, a := range alternatives {
		r.remainingGain[i] = min(r.remainingGain[i]+intervals*a.maxGain(), a.maxGain())
	}
}

// evidence returns the log-likelihood ratio of the counts under the alternative
// versus under the rates of the other upstreams.
func evidence(a alternative, c Count, failures, slow float64) float64 {
	hits, misses, healthy := c.Failed, c.Fast+c.Slow, max(failures, healthyFailures)
	if a.slow {
		hits, misses, healthy = c.Slow, c.Fast, max(slow, healthySlow)
	}
	healthy = min(healthy, maxRate)
	if a.rate < healthy*minRateRatio {
		// The whole service is nearly as bad: the counts are in the upstream's favour.
		return -float64(hits+misses) * math.Ln2
	}
	return float64(hits)*math.Log(a.rate/healthy) + float64(misses)*math.Log((1-a.rate)/(1-healthy))
}

// score returns the largest sum over the alternatives.
func (r *row) score() float64 {
	most := 0.0
	for _, s := range r.scores {
		most = max(most, s)
	}
	return most
}

// slowness reports whether the current score is that of a slow alternative.
func (r *row) slowness() bool {
	best := 0
	for i, s := range r.scores {
		if s > r.scores[best] {
			best = i
		}
	}
	return alternatives[best].slow
}

// reset sets all scores to zero.
func (r *row) reset() {
	clear(r.scores[:])
	clear(r.byReporter)
}

// baseline holds the rates and tallies that rows are compared with, computed once per
// batch of counts.
type baseline struct {
	failures []float64 // Sorted.
	slow     []float64 // Sorted.
	tallies  map[string]tally
}

// baseline returns the current rates and tallies of all rows.
func (p *scoreTable) baseline() *baseline {
	n := len(p.rows)
	s := &baseline{failures: make([]float64, 0, n), slow: make([]float64, 0, n), tallies: p.tallies()}
	for _, r := range p.rows {
		s.failures = append(s.failures, r.failures.upper())
		s.slow = append(s.slow, r.slow.upper())
	}
	slices.Sort(s.failures)
	slices.Sort(s.slow)
	return s
}

// rates returns the rates that a row is compared with: the lower quartiles over the
// other upstreams, so that two unhealthy ones of three do not hide each other.
func (s *baseline) rates(r *row) (failures, slow float64) {
	return quartileWithout(s.failures, r.failures.upper()), quartileWithout(s.slow, r.slow.upper())
}

// quartileWithout returns the lower quartile of the sorted values, leaving out one that
// equals own, or 0 if there are no others.
func quartileWithout(sorted []float64, own float64) float64 {
	others := len(sorted) - 1
	if others < 1 {
		return 0
	}
	i := (others - 1) / 4
	if own <= sorted[i] {
		i++ // own is at or before this index.
	}
	return sorted[i]
}
