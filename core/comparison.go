package core

import "math"

// tally counts observations of an upstream.
type tally struct{ seen, failed, slow uint64 }

func (t tally) minus(o tally) tally {
	return tally{t.seen - o.seen, t.failed - o.failed, t.slow - o.slow}
}

func (t tally) plus(c Count) tally {
	return tally{t.seen + uint64(c.total()), t.failed + uint64(c.Failed), t.slow + uint64(c.Slow)}
}

// bad returns the number of slow or of failed observations.
func (t tally) bad(slow bool) float64 {
	if slow {
		return float64(t.slow)
	}
	return float64(t.failed)
}

// tallies returns a copy of all rows' tallies.
func (p *scoreTable) tallies() map[string]tally {
	tallies := make(map[string]tally, len(p.rows))
	for name, r := range p.rows {
		tallies[name] = r.sum
	}
	return tallies
}

const (
	// lowScore is the score below which the comparison period of an upstream restarts.
	lowScore = 3.0
	// comparisonShare is the share of the threshold that the comparison with the other
	// upstreams must reach: at a threshold of 22, six failures of six against none of
	// twelve.
	comparisonShare = 0.5
)

// worseThanOthers reports whether the other upstreams did clearly better over the same
// period: either all of them together or, in case several are unhealthy, at least a
// quarter of them individually. Without this check, a failure of the whole service
// would look like one unhealthy upstream to a node that observes that one first.
func (p *scoreTable) worseThanOthers(name string, limit float64) bool {
	r := p.rows[name]
	if r == nil || r.since == nil {
		return false
	}
	slow := r.slowness()
	own := r.sum.minus(r.since[name])
	var all tally
	better, others := 0, 0
	for other, o := range p.rows {
		if other == name {
			continue
		}
		others++
		theirs := o.sum.minus(r.since[other])
		all = tally{all.seen + theirs.seen, all.failed + theirs.failed, all.slow + theirs.slow}
		if gTest(own, theirs, slow) >= comparisonShare*limit {
			better++
		}
	}
	return gTest(own, all, slow) >= comparisonShare*limit || better > 0 && better*4 >= others
}

// gTest returns the log-likelihood ratio of two tallies having different rates of
// bad outcomes versus a common one (the G-test), or 0 unless the first is worse.
func gTest(worse, better tally, slow bool) float64 {
	x, n := worse.bad(slow), float64(worse.seen)
	y, m := better.bad(slow), float64(better.seen)
	if n == 0 || m == 0 || x/n <= y/m {
		return 0
	}
	pooled := (x + y) / (n + m)
	return logLikelihood(x, n, x/n) + logLikelihood(y, m, y/m) - logLikelihood(x, n, pooled) - logLikelihood(y, m, pooled)
}

// logLikelihood returns the log-likelihood of x bad outcomes in n observations at a rate.
func logLikelihood(x, n, rate float64) float64 {
	sum := 0.0
	if x > 0 {
		sum += x * math.Log(rate)
	}
	if n > x {
		sum += (n - x) * math.Log(1-rate)
	}
	return sum
}
