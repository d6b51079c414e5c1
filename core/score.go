package core

import (
	"math"
	"slices"
	"time"
)

// The sequential test. For every upstream a cumulative sum of log-likelihood
// ratios (CUSUM, Page 1954) asks whether it has become worse than the service's
// other upstreams. A sum that reaches h is a false alarm at most once in e^h
// observations (Lorden 1971), which is what gives `sensitivity` its meaning.
const (
	healthyFailures = 0.005 // Assumed of a healthy upstream, as a floor: rarer failures teach nothing.
	healthySlow     = 0.10  // Twice the share that the cut of the slow answers leaves by its making.
	certain         = 0.98  // Rates are kept away from 0 and 1, whose logarithms are not finite.
	// worseBy is how much worse than the others an alternative must be to be a
	// fault of the upstream rather than of the service.
	worseBy = 1.5
)

// alternative is one way to be sick: a rate of failures or of slow answers.
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

// Bad answers that come together are one event, not many independent ones: a
// pause of the upstream makes all slow that it has in hand. So evidence against an
// upstream is taken at a bounded pace: some three failures, or two slow answers, in
// a quarter of a second. Evidence for it is taken as it comes.
const (
	failurePace = 14.0 // In a burst, and again in every burstTime.
	slowPace    = 4.5
	burstTime   = 250 * time.Millisecond
)

func (a alternative) pace() float64 {
	if a.slow {
		return slowPace
	}
	return failurePace
}

// row is what is known of one upstream.
type row struct {
	failures rate
	slow     rate
	sum      tally // Of all observations.
	scores   [len(alternatives)]float64
	// allowed is how much each score may still rise now; it grows again with time.
	allowed   [len(alternatives)]float64
	allowedAt time.Time
	// since holds every row's tally from when this upstream's score last was low,
	// so that it is compared with the others over the same time.
	since map[string]tally
	// by holds each reporter's share of the present score.
	by map[string]float64
}

// panel holds the rows of a service.
type panel struct {
	rows map[string]*row
}

func newPanel() panel { return panel{rows: map[string]*row{}} }

// members makes the rows fit the live upstreams.
func (p *panel) members(upstreams []string) {
	live := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		live[u] = true
		if p.rows[u] == nil {
			p.rows[u] = &row{by: map[string]float64{}}
		}
	}
	for u := range p.rows {
		if !live[u] {
			delete(p.rows, u)
		}
	}
}

// observe takes one node's counts. All rates change first and the scores after,
// because a failure of the whole service shows in the same counts.
func (p *panel) observe(at time.Time, reporter string, counts []Count) {
	for _, c := range counts {
		if r := p.rows[c.Upstream]; r != nil {
			r.failures.add(c.Failed, c.total())
			r.slow.add(c.Slow, c.Fast+c.Slow)
		}
	}
	common := p.standard()
	for _, c := range counts {
		if r := p.rows[c.Upstream]; r != nil && c.total() > 0 {
			r.refill(at)
			r.take(common, reporter, c)
		}
	}
	for _, c := range counts {
		if r := p.rows[c.Upstream]; r != nil {
			r.sum = r.sum.plus(c)
		}
	}
}

// take moves a row's scores by one node's count.
func (r *row) take(common *standard, reporter string, c Count) {
	failures, slow := common.others(r)
	before := r.score()
	for i, a := range alternatives {
		gain := min(evidence(a, c, failures, slow), r.allowed[i])
		r.allowed[i] -= max(gain, 0)
		r.scores[i] = max(0, r.scores[i]+gain)
	}
	after := r.score()
	if after == 0 {
		clear(r.by)
	} else {
		r.by[reporter] = max(0, r.by[reporter]+after-before)
	}
	if before < lowScore {
		r.since = common.tallies
	}
}

// refill lets the scores rise again as time passes.
func (r *row) refill(at time.Time) {
	passed := at.Sub(r.allowedAt).Seconds() / burstTime.Seconds()
	if r.allowedAt.IsZero() {
		passed = 1
	}
	r.allowedAt = at
	for i, a := range alternatives {
		r.allowed[i] = min(r.allowed[i]+passed*a.pace(), a.pace())
	}
}

// evidence is the log-likelihood ratio of the counts: sick in the way of a,
// against as healthy as the others.
func evidence(a alternative, c Count, failures, slow float64) float64 {
	hits, misses, healthy := c.Failed, c.Fast+c.Slow, max(failures, healthyFailures)
	if a.slow {
		hits, misses, healthy = c.Slow, c.Fast, max(slow, healthySlow)
	}
	healthy = min(healthy, certain)
	if a.rate < healthy*worseBy {
		// The whole service does as badly: nothing is held against this one.
		return -float64(hits+misses) * math.Ln2
	}
	return float64(hits)*math.Log(a.rate/healthy) + float64(misses)*math.Log((1-a.rate)/(1-healthy))
}

// score is the largest sum over the alternatives.
func (r *row) score() float64 {
	most := 0.0
	for _, s := range r.scores {
		most = max(most, s)
	}
	return most
}

// slowness reports whether the present score is one of slow answers.
func (r *row) slowness() bool {
	best := 0
	for i, s := range r.scores {
		if s > r.scores[best] {
			best = i
		}
	}
	return alternatives[best].slow
}

// reset takes all scores back to nothing.
func (r *row) reset() {
	clear(r.scores[:])
	clear(r.by)
}

// standard holds what all rows are compared with, made once for a batch of counts.
type standard struct {
	failures []float64 // Sorted.
	slow     []float64 // Sorted.
	tallies  map[string]tally
}

func (p *panel) standard() *standard {
	n := len(p.rows)
	s := &standard{failures: make([]float64, 0, n), slow: make([]float64, 0, n), tallies: p.tallies()}
	for _, r := range p.rows {
		s.failures = append(s.failures, r.failures.upper())
		s.slow = append(s.slow, r.slow.upper())
	}
	slices.Sort(s.failures)
	slices.Sort(s.slow)
	return s
}

// others gives the rates a row is compared with: those of the better quarter of
// the other upstreams, so that two sick ones of three do not excuse each other.
func (s *standard) others(r *row) (failures, slow float64) {
	return quartileWithout(s.failures, r.failures.upper()), quartileWithout(s.slow, r.slow.upper())
}

// quartileWithout returns the lower quartile of sorted values but for one of them.
func quartileWithout(sorted []float64, own float64) float64 {
	others := len(sorted) - 1
	if others < 1 {
		return 0
	}
	i := (others - 1) / 4
	if own <= sorted[i] {
		i++ // The one left out comes before.
	}
	return sorted[i]
}
