package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"eiderfold/gate"
	"eiderfold/link"
)

// replayCalls are the nested requests of a run.
type replayCalls struct {
	gate    *replayGate
	key     link.Key
	run     *replayRun
	kind    routeLoad
	began   time.Time
	outcome gate.Outcome // Of the run, if all are answered.
	left    int
}

// make makes the next nested request.
func (c *replayCalls) make() {
	g, p, name := c.gate, c.gate.replay, c.run.offer.Attempt
	called := p.scenario.route(c.kind.Calls)
	node := p.nodes[slices.Index(p.scenario.centres(), g.centre)]
	admission := g.admission
	admission.NestedBegan(p.now, c.key, called.Service)
	began := p.now
	p.number++
	p.ask(node, called, name+"."+strconv.FormatUint(p.number, 10), g, func(f *replayRequest, ok bool) {
		status := http.StatusOK
		if !ok && f.runs == 0 {
			status = http.StatusServiceUnavailable
		}
		admission.NestedEnded(p.now, c.key, called.Service, p.now.Sub(began), status)
		c.ended(f, ok)
	})
}

// ended ends the run, or makes the next nested request of those in turn.
func (c *replayCalls) ended(f *replayRequest, ok bool) {
	g, p := c.gate, c.gate.replay
	c.left--
	c.run.spent = c.run.spent || !ok && f.lacksBudget()
	switch {
	case !ok:
		g.finish(c.key, gate.NestedFailed, p.now.Sub(c.began))
	case c.left == 0:
		g.finish(c.key, c.outcome, p.now.Sub(c.began))
	case c.kind.InTurn && !c.run.over:
		c.make()
		return
	}
	if c.left == 0 || c.kind.InTurn {
		delete(p.parents, c.run.offer.Attempt)
	}
}

// noteQueue keeps track of the offers in the gate's queue.
func (g *replayGate) noteQueue(c gate.Command) {
	switch c := c.(type) {
	case gate.Queue:
		g.queued[c.Key] = true
	case gate.Grant:
		delete(g.queued, c.Key)
	case gate.Start:
		delete(g.queued, c.Key)
	case gate.Refuse:
		delete(g.queued, c.Key)
	}
}

// shortestWait returns the shortest wait at the open gates of a service, as nodes know it that get
// each gate's room at once; 0 if one of them has a free slot.
func (p *replay) shortestWait(service string) (time.Duration, bool) {
	shortest, known := time.Duration(0), false
	for _, g := range p.gates {
		status := g.admission.Status()
		if g.service != service || status.Mode != link.ModeOpen {
			continue
		}
		wait := time.Duration(0)
		if g.admission.Saturated() {
			wait = status.MeanResponseTime * time.Duration(len(g.queued)+1) / time.Duration(max(g.slots, 1))
		}
		if !known || wait < shortest {
			shortest, known = wait, true
		}
	}
	return shortest, known
}
