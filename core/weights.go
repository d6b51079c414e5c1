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

// LocalWeights reduces the weight of upstreams that look
// unhealthy from this node, at once and without coordination. It never reduces a
// weight to zero, so it ejects nothing and cannot violate a floor.
type LocalWeights struct {
	scoreTable
	lastTick time.Time
}

// NewLocalWeights returns LocalWeights without upstreams.
func NewLocalWeights() *LocalWeights { return &LocalWeights{scoreTable: newScoreTable()} }

// Update handles Members, Evidence from this node, and Tick.
func (w *LocalWeights) Update(m Message) {
	switch m := m.(type) {
	case Members:
		w.scoreTable.setUpstreams(m.Upstreams)
	case Evidence:
		w.scoreTable.observe(m.At, m.Reporter, m.Counts)
	case Tick:
		w.decay(m.At)
	}
}

// decay reduces all scores by the time since the last tick.
func (w *LocalWeights) decay(at time.Time) {
	if w.lastTick.IsZero() {
		w.lastTick = at
	}
	factor := math.Exp2(-at.Sub(w.lastTick).Seconds() / scoreHalfLife.Seconds())
	w.lastTick = at
	for _, r := range w.rows {
		for i := range r.scores {
			r.scores[i] *= factor
		}
	}
}

// Weight returns the factor for an upstream's share of this node's requests.
func (w *LocalWeights) Weight(upstream string) float64 {
	r := w.rows[upstream]
	if r == nil || r.score() < reduceAt {
		return fullWeight
	}
	return reducedWeight
}

// Unreliable reports whether an upstream's score is so high that its response times
// must be left out of the route's latency percentile: they do not show what is usual.
func (w *LocalWeights) Unreliable(upstream string) bool {
	r := w.rows[upstream]
	return r != nil && r.score() > reduceAt/2
}
