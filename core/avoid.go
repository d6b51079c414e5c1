package core

import (
	"math"
	"time"
)

const (
	// avoidAt is a sum that a healthy upstream reaches now and then. Being wrong
	// costs a node a moment of uneven load, so it may be low: about two failures.
	avoidAt     = 6.0
	avoidFactor = 1.0 / 16
	avoidHalf   = 5 * time.Second // Half-life of the sum, for when no work comes that could clear it.
)

// Avoider lowers the weight of upstreams that one node itself finds bad, at once
// and without asking anybody. It never takes an upstream to zero, so it sets
// nothing aside and cannot breach a floor.
type Avoider struct {
	panel
	ticked time.Time
}

// NewAvoider returns an avoider that knows no upstream.
func NewAvoider() *Avoider { return &Avoider{panel: newPanel()} }

// Update takes Members, Evidence of this node, and Tick. It wants nothing done.
func (a *Avoider) Update(m Message) {
	switch m := m.(type) {
	case Members:
		a.panel.members(m.Upstreams)
	case Evidence:
		a.panel.observe(m.At, m.Reporter, m.Counts)
	case Tick:
		a.decay(m.At)
	}
}

func (a *Avoider) decay(at time.Time) {
	if a.ticked.IsZero() {
		a.ticked = at
	}
	kept := math.Exp2(-at.Sub(a.ticked).Seconds() / avoidHalf.Seconds())
	a.ticked = at
	for _, r := range a.rows {
		for i := range r.scores {
			r.scores[i] *= kept
		}
	}
}

// Weight returns the factor for an upstream's share of this node's work.
func (a *Avoider) Weight(upstream string) float64 {
	r := a.rows[upstream]
	if r == nil || r.score() < avoidAt {
		return fullWeight
	}
	return avoidFactor
}

// Suspects reports whether an upstream's sum is high enough that its answer
// times must not teach the node what is usual.
func (a *Avoider) Suspects(upstream string) bool {
	r := a.rows[upstream]
	return r != nil && r.score() > avoidAt/2
}
