package ingress

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"eiderfold/budget"
	"eiderfold/gate"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/port"
	"eiderfold/switches"
)

// replayGate is a gate with its upstream.
type replayGate struct {
	replay    *replay
	service   string
	centre    string
	admission *gate.Admission
	slots     int
	index     int
	runs      map[link.Key]*replayRun
}

// replayRun is an offer at a gate, and its run once it has started.
type replayRun struct {
	node  *replayNode
	offer *link.Offer
	over  bool
}

func (p *replay) newGate(service string, s serviceLoad, i int, set switches.Set) *replayGate {
	b := budget.New(replayRatio, float64(replaySlack*s.Gates), time.Time{})
	b.ObserveGates(s.Gates)
	g := &replayGate{replay: p, service: service, centre: p.scenario.centres()[i%p.scenario.Centres], slots: s.Slots, index: i, runs: map[link.Key]*replayRun{}}
	g.admission = gate.NewAdmission(service, b)
	g.admission.SetSwitches(set)
	g.update(gate.Reported{At: p.now, Report: port.Report{Incarnation: port.Incarnation{ID: "i-" + g.name()}, Service: service, Slots: s.Slots, Sequence: 1}})
	g.update(gate.Confirmed{At: p.now, Upstream: port.Incarnation{ID: "i-" + g.name()}})
	p.after(replayTick, g.tick)
	return g
}

func (g *replayGate) name() string { return fmt.Sprintf("%s-%03d", g.service, g.index) }

func (g *replayGate) tick() {
	g.update(gate.Ticked{At: g.replay.now})
	g.replay.after(replayTick, g.tick)
}

// addEndpoint adds a gate to the node's endpoints.
func (n *replayNode) addEndpoint(g *replayGate) {
	endpoint := NewEndpoint(link.Member{Name: g.name(), Service: g.service, DataCentre: g.centre})
	endpoint.SetStatus(g.admission.Status(), n.replay.now)
	n.forwarder.endpoints.Add(endpoint)
	n.forwarder.Connected(endpoint, replaySink{node: n, gate: g}, 1)
}

// replaySink sends a node's messages to a gate.
type replaySink struct {
	node *replayNode
	gate *replayGate
}

func (w replaySink) Send(f *link.Frame) bool {
	w.node.replay.after(w.delay(), func() { w.gate.handle(w.node, f) })
	return true
}

// LastPong returns the current time: every node of a replay responds.
func (w replaySink) LastPong() time.Time { return w.node.replay.now }

func (w replaySink) delay() time.Duration {
	if w.node.centre == w.gate.centre {
		return replayDelay
	}
	return replayFar
}

// handle processes a node's message.
func (g *replayGate) handle(from *replayNode, f *link.Frame) {
	now := g.replay.now
	switch {
	case f.Offer != nil:
		o := f.Offer
		g.runs[o.Key] = &replayRun{node: from, offer: o}
		deadline := now.Add(o.TimeLeft)
		g.update(gate.Offered{At: now, Key: o.Key, Service: o.Service, Upstream: o.Upstream, Deadline: deadline, TargetDeadline: g.admission.TargetDeadline(now, deadline, o.Target),
			Priority: o.Priority, Retryable: o.Retryable, Force: o.Force, Ready: o.Content != nil, Kind: o.Kind, AttemptKind: o.AttemptKind})
	case f.Commit != nil:
		g.update(gate.Committed{At: now, Key: f.Commit.Key})
	case f.Withdraw != nil:
		g.update(gate.Withdrawn{At: now, Key: f.Withdraw.Key})
	}
}

// update passes a message to the admission and executes the resulting commands.
func (g *replayGate) update(m gate.Message) {
	for _, c := range g.admission.Update(m) {
		switch c := c.(type) {
		case gate.Grant:
			g.send(c.Key, &link.Frame{Granted: &link.Granted{Key: c.Key}})
		case gate.Queue:
			g.send(c.Key, &link.Frame{Queued: &link.Queued{Key: c.Key}})
		case gate.Refuse:
			g.send(c.Key, &link.Frame{Refused: &link.Refused{Key: c.Key, Reason: c.Reason, RetryAfter: c.RetryAfter}})
		case gate.Warn:
			g.send(c.Key, &link.Frame{Overdue: &link.Overdue{Key: c.Key}})
		case gate.Start:
			g.start(c.Key)
		case gate.Abort:
			g.finish(c.Key, gate.NoEvidence, 0)
		case gate.Announce:
			g.announce()
		}
	}
}

// announce sends the gate's status to every node.
func (g *replayGate) announce() {
	s := g.admission.Status()
	for _, n := range g.replay.nodes {
		for _, e := range n.forwarder.endpoints.Of(g.service) {
			if e.Member().Name == g.name() {
				e.SetStatus(s, g.replay.now)
			}
		}
	}
}

func (g *replayGate) send(k link.Key, f *link.Frame) {
	r := g.runs[k]
	if r == nil {
		return
	}
	g.replay.after(replaySink{node: r.node, gate: g}.delay(), func() { r.node.deliver(f) })
}

// start runs a request on the upstream. By the scenario's faults, the upstream may shed
// it, break it or hang.
func (g *replayGate) start(k link.Key) {
	p, r := g.replay, g.runs[k]
	began := p.now
	if r.offer.Content != nil && r.offer.Retryable {
		g.send(k, &link.Frame{Granted: &link.Granted{Key: k, Started: true}})
	}
	kind := p.kinds[r.offer.Kind]
	work := time.Duration(float64(kind.Work) * math.Exp(kind.Spread*p.random.NormFloat64()-kind.Spread*kind.Spread/2))
	if p.scenario.Count.contains(p.elapsed()) && g.limit() > 0 {
		p.totals[limitedStarts].total++
	}
	fault := p.scenario.fault(g.service, g.index, p.elapsed(), p.random)
	switch fault {
	case "shed":
		p.after(replayShed, func() { g.finish(k, gate.Shed, replayShed) })
	case "break":
		p.after(replayShed, func() { g.finish(k, gate.Broken, replayShed) })
	case "hang":
		p.after(replayHang, func() { g.finish(k, gate.NoEvidence, replayHang) })
	default:
		p.after(work, func() { g.worked(k, kind, began) })
	}
}

// limit returns the limit that the upstream names now; 0 for none.
func (g *replayGate) limit() float64 {
	return g.replay.scenario.limit(g.service, g.index, g.replay.elapsed())
}

// worked ends a run, after its nested requests if the route makes any.
func (g *replayGate) worked(k link.Key, kind routeLoad, began time.Time) {
	p, r := g.replay, g.runs[k]
	if r == nil || r.over || kind.CallTimes == 0 {
		g.finish(k, gate.Good, p.now.Sub(began))
		return
	}
	name := r.offer.Attempt
	p.parents[name] = overload.Parent{Priority: r.offer.Priority, TargetDeadline: began.Add(r.offer.Target), Deadline: began.Add(r.offer.TimeLeft)}
	node := p.nodes[slices.Index(p.scenario.centres(), g.centre)]
	left := kind.CallTimes
	for range kind.CallTimes {
		p.number++
		p.ask(node, p.scenario.route(kind.Calls), name+"."+strconv.FormatUint(p.number, 10), g, func(ok bool) {
			left--
			switch {
			case !ok:
				g.finish(k, gate.NestedFailed, p.now.Sub(began))
			case left == 0:
				g.finish(k, gate.Good, p.now.Sub(began))
			}
			if left == 0 {
				delete(p.parents, name)
			}
		})
	}
}

// finish ends a run and reports it to the node.
func (g *replayGate) finish(k link.Key, o gate.Outcome, took time.Duration) {
	r := g.runs[k]
	if r == nil || r.over {
		return
	}
	r.over = true
	switch o {
	case gate.Good:
		header := http.Header{"Response-Stamp": {g.name()}}
		said := gate.Stated{At: g.replay.now, HeardAt: g.replay.now, Upstream: port.Incarnation{ID: "i-" + g.name()}, Limit: port.NamedLimit{State: port.LimitNone}}
		if limit := g.limit(); limit > 0 {
			header.Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
			said.Limit = port.NamedLimit{State: port.LimitNamed, Rate: limit}
		}
		g.update(said)
		g.send(k, &link.Frame{Answer: &link.Answer{Key: k, Status: http.StatusOK, Header: header, MeanResponseTime: g.admission.Status().MeanResponseTime}})
	case gate.NestedFailed:
		g.send(k, &link.Frame{Answer: &link.Answer{Key: k, Status: http.StatusInternalServerError, MeanResponseTime: g.admission.Status().MeanResponseTime}})
	case gate.Shed:
		g.send(k, &link.Frame{Refused: &link.Refused{Key: k, Reason: link.ReasonShed}})
	default:
		g.send(k, &link.Frame{Failed: &link.Failed{Key: k, Detail: o.String()}})
	}
	delete(g.runs, k)
	g.update(gate.Ended{At: g.replay.now, Key: k, Outcome: o, Took: took})
}
