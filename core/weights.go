package core

import (
	"math"
	"time"
)

const (
	// reduceAt is the score at which an upstream's weight is reduced: about two
	// failures. Healthy upstreams reach it occasionally, but a false alarm only
	// makes the load uneven for a short time.
	reduceAt      = 6.0
	reducedWeight = 1.0 / 16
	scoreHalfLife = 5 * time.Second // Half-life of the scores, which would otherwise stay up without traffic.
)

// Avoider holds a node's local weights: it reduces the weight of upstreams that look
// unhealthy from this node, at once and without coordination. It never reduces a
// weight to zero, so it ejects nothing and cannot violate a floor.
type Avoider struct {
	scoreTable
	lastTick time.Time
}

// NewAvoider returns an Avoider without upstreams.
func NewAvoider() *Avoider { return &Avoider{scoreTable: newScoreTable()} }

// Update handles Members, Evidence from this node, and Tick.
func (a *Avoider) Update(m Message) {
	switch m := m.(type) {
	case Members:
		a.scoreTable.setUpstreams(m.Upstreams)
	case Evidence:
		a.scoreTable.observe(m.At, m.Reporter, m.Counts)
	case Tick:
		a.decay(m.At)
	}
}

// decay reduces all scores by the time since the last tick.
func (a *Avoider) decay(at time.Time) {
	if a.lastTick.IsZero() {
		a.lastTick = at
	}
	factor := math.Exp2(-at.Sub(a.lastTick).Seconds() / scoreHalfLife.Seconds())
	a.lastTick = at
	for _, r := range a.rows {
		for i := range r.scores {
			r.scores[i] *= factor
		}
	}
}

// Weight returns the factor for an upstream's share of this node's requests.
func (a *Avoider) Weight(upstream string) float64 {
	r := a.rows[upstream]
	if r == nil || r.score() < reduceAt {
		return fullWeight
	}
	return reducedWeight
}

// Suspects reports whether an upstream's score is so high that its response times
// must be left out of the route's latency percentile.
func (a *Avoider) Suspects(upstream string) bool {
	r := a.rows[upstream]
	return r != nil && r.score() > reduceAt/2
}
