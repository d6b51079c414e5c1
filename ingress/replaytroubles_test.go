package ingress

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eiderfold/clocktest"
	"eiderfold/gate"
	"eiderfold/link"
)

// gateTrouble is what happens to some gates of a service in a span, beside the faults of their upstreams.
type gateTrouble struct {
	Span    `yaml:",inline"`
	Service string        `yaml:"service"`
	First   float64       `yaml:"first"` // Share of the gates before them.
	Last    float64       `yaml:"last"`  // Share of the gates up to the last of them.
	How     string        `yaml:"how"`   // cut: no node reaches them; freeze: their processes stand still; clock: their clocks are set.
	Set     time.Duration `yaml:"set"`   // With how: clock, by how much.
}

// hits reports whether the trouble is that of a gate.
func (t gateTrouble) hits(g *replayGate) bool {
	gates := float64(g.replay.scenario.Services[g.service].Gates)
	return t.Service == g.service && float64(g.index) >= t.First*gates && float64(g.index) < t.Last*gates
}

// scheduleTroubles schedules all troubles of the scenario.
func (p *replay) scheduleTroubles() {
	for _, t := range p.scenario.Troubles {
		p.after(t.From, func() { p.begins(t) })
	}
}

func (p *replay) begins(t gateTrouble) {
	ends := p.now.Add(t.To - t.From)
	for _, g := range p.gates {
		if !t.hits(g) {
			continue
		}
		switch t.How {
		case "cut":
			g.cut(ends)
		case "freeze":
			g.frozenUntil = ends
		case "clock":
			g.wallStep += t.Set
			p.after(t.To-t.From, func() { g.wallStep -= t.Set })
		default:
			panic("unknown trouble: " + t.How)
		}
	}
}

// cut ends the links of all nodes to the gate, and what is on its way over them. What its upstream runs for orders
// goes on.
func (g *replayGate) cut(until time.Time) {
	for _, n := range g.replay.nodes {
		n.disconnect(g)
	}
	g.links++
	for _, k := range slices.SortedFunc(maps.Keys(g.runs), func(a, b link.Key) int { return cmp.Compare(a.Number, b.Number) }) {
		g.update(gate.Withdrawn{At: g.now(), Key: k})
	}
	g.replay.after(until.Sub(g.replay.now), func() {
		for _, n := range g.replay.nodes {
			n.connect(g)
		}
	})
}

// whenAwake does something once the gate's process does not stand still, and reports whether that is later.
func (g *replayGate) whenAwake(do func()) bool {
	if !g.replay.now.Before(g.frozenUntil) {
		return false
	}
	g.replay.after(g.frozenUntil.Sub(g.replay.now), do)
	return true
}

// now returns the time by the clock of the gate's machine.
func (g *replayGate) now() time.Time { return clocktest.SetWall(g.replay.now, g.wallStep) }
