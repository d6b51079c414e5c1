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

// bad counts the observations of one kind.
func (t tally) bad(slow bool) float64 {
	if slow {
		return float64(t.slow)
	}
	return float64(t.failed)
}

func (p *panel) tallies() map[string]tally {
	tallies := make(map[string]tally, len(p.rows))
	for name, r := range p.rows {
		tallies[name] = r.sum
	}
	return tallies
}

const (
	// lowScore is where a rise of the score begins to be a suspicion.
	lowScore = 3.0
	// contrastShare is how much of the threshold the contrast to the others must
	// reach: at a threshold of 22, six failures of six against none of twelve.
	contrastShare = 0.5
)

// stands reports whether the other upstreams did clearly better over the same
// time: all of them together, or a quarter of them each, for when more than one
// is sick. Without that, a whole service that turns bad would look like one sick
// upstream to whoever happens to see that one first.
func (p *panel) stands(name string, limit float64) bool {
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
		if differ(own, theirs, slow) >= contrastShare*limit {
			better++
		}
	}
	return differ(own, all, slow) >= contrastShare*limit || better > 0 && better*4 >= others
}

// differ is the log-likelihood ratio of two upstreams having two rates of bad
// answers against having one, 0 unless the first is worse (the G-test).
func differ(worse, better tally, slow bool) float64 {
	x, n := worse.bad(slow), float64(worse.seen)
	y, m := better.bad(slow), float64(better.seen)
	if n == 0 || m == 0 || x/n <= y/m {
		return 0
	}
	both := (x + y) / (n + m)
	return likelihood(x, n, x/n) + likelihood(y, m, y/m) - likelihood(x, n, both) - likelihood(y, m, both)
}

// likelihood is the logarithm of how likely x of n are at a rate.
func likelihood(x, n, rate float64) float64 {
	sum := 0.0
	if x > 0 {
		sum += x * math.Log(rate)
	}
	if n > x {
		sum += (n - x) * math.Log(1-rate)
	}
	return sum
}
