package ingress

import (
	"cmp"
	"fmt"
	"maps"
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
	process   uint64 // Grows with each restart.
	service   string
	centre    string
	admission *gate.Admission
	slots     int
	index     int
	switches  switches.Set
	runs      map[link.Key]*replayRun
	links     int           // How often its links were cut.
	wallStep  time.Duration // By how much its machine's clock is set forward.
	// frozenUntil is until when its process stands still.
	frozenUntil time.Time
}

// replayRun is an offer at a gate, and its run once it has started.
type replayRun struct {
	node   *replayNode
	offer  *link.Offer
	repeat bool // It repeats another run, or is nested in one that does.
	spent  bool // A nested request failed for want of budget.
	over   bool
}

func (p *replay) newGate(service string, s serviceLoad, i int, set switches.Set) *replayGate {
	g := &replayGate{replay: p, service: service, centre: p.scenario.centres()[i%p.scenario.Centres], slots: s.Slots, index: i, switches: set}
	g.start(p.begin.Add(-budgetWindow))
	p.after(replayTick, g.tick)
	return g
}

// start starts a process without any state, which takes the place of the previous one.
func (g *replayGate) start(at time.Time) {
	gates := g.replay.scenario.Services[g.service].Gates
	b := budget.New(replayRatio, g.replay.scenario.slack(g.service), at)
	b.ObserveGates(gates)
	b.SetRank((float64(g.index) + 0.5) / float64(gates))
	g.process++
	g.runs = map[link.Key]*replayRun{}
	g.admission = gate.NewAdmission(g.service, b)
	g.admission.SetSwitches(g.switches)
	g.admission.SetNestedWait(func(service string) (time.Duration, bool) {
		return g.node().forwarder.endpoints.ShortestWait(service, g.replay.now)
	})
	g.update(gate.Reported{At: g.now(), Report: port.Report{Incarnation: port.Incarnation{ID: "i-" + g.name()}, Service: g.service, Slots: g.slots, Sequence: 1}})
	g.update(gate.Confirmed{At: g.now(), Upstream: port.Incarnation{ID: "i-" + g.name()}})
}

// restart replaces the processes of a share of a service's gates. What their upstreams run ends with
// them, and their nodes do not learn its outcome.
func (p *replay) restart(r restart) {
	for _, g := range p.gates {
		if g.service != r.Service || float64(g.index) >= r.Gates*float64(p.scenario.Services[g.service].Gates) {
			continue
		}
		for _, n := range p.nodes {
			n.disconnect(g)
		}
		g.start(p.now)
		for _, n := range p.nodes {
			n.connect(g)
		}
	}
	if p.elapsed()+r.Every < r.To {
		p.after(r.Every, func() { p.restart(r) })
	}
}

func (g *replayGate) name() string { return fmt.Sprintf("%s-%03d", g.service, g.index) }

func (g *replayGate) tick() {
	if g.whenAwake(g.tick) {
		return
	}
	g.update(gate.Ticked{At: g.now()})
	g.replay.after(replayTick, g.tick)
}

// addEndpoint adds a gate to the node's endpoints.
func (n *replayNode) addEndpoint(g *replayGate) {
	endpoint := NewEndpoint(link.Member{Name: g.name(), Service: g.service, DataCentre: g.centre})
	n.endpoints[g] = endpoint
	n.forwarder.endpoints.Add(endpoint)
	n.connect(g)
}

// connect opens a link to a gate.
func (n *replayNode) connect(g *replayGate) {
	endpoint := n.endpoints[g]
	n.forwarder.ReceiveStatus(endpoint, g.status(), n.replay.now)
	n.forwarder.Connected(endpoint, replaySink{node: n, gate: g, process: g.process, links: g.links}, g.process)
}

// disconnect breaks the link to a gate, and ends its requests' offers there.
func (n *replayNode) disconnect(g *replayGate) {
	endpoint := n.endpoints[g]
	n.forwarder.Disconnected(endpoint, replaySink{node: n, gate: g, process: g.process, links: g.links})
	for _, k := range slices.Sorted(maps.Keys(n.requests)) {
		f := n.requests[k]
		if f.ended || !slices.ContainsFunc(f.offers, func(o *offer) bool { return o.endpoint == endpoint }) {
			continue
		}
		f.step(f.handle(event{lost: true, endpoint: endpoint}, n.replay.now))
	}
}

// replaySink sends a node's messages to a gate.
type replaySink struct {
	node    *replayNode
	gate    *replayGate
	process uint64 // Of the gate; messages to an earlier one are lost,
	links   int    // and those over a link that was cut.
}

func (w replaySink) Send(f *link.Frame) bool {
	w.node.replay.after(w.delay(), func() {
		w.gate.receive(w, f)
	})
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

// receive handles a message from a link, once the process does not stand still.
func (g *replayGate) receive(w replaySink, f *link.Frame) {
	if g.whenAwake(func() { g.receive(w, f) }) || g.process != w.process || g.links != w.links {
		return
	}
	g.handle(w.node, f)
}

// handle processes a node's message.
func (g *replayGate) handle(from *replayNode, f *link.Frame) {
	now := g.now()
	switch {
	case f.Offer != nil:
		o := f.Offer
		g.runs[o.Key] = &replayRun{node: from, offer: o, repeat: o.AttemptKind != budget.First}
		deadline := now.Add(o.TimeLeft)
		g.update(gate.Offered{At: now, Key: o.Key, Service: o.Service, Upstream: o.Upstream, Deadline: deadline, TargetDeadline: g.admission.TargetDeadline(now, deadline, o.Target),
			Priority: o.Priority, Retryable: o.Retryable, Force: o.Force, Ready: o.Content != nil, Kind: o.Kind, AttemptKind: o.AttemptKind,
			Account: cmp.Or(o.ParentAccount, o.Account), Weight: o.Weight, Nested: o.Nested})
	case f.Commit != nil:
		if r := g.runs[f.Commit.Key]; r != nil {
			r.repeat = f.Commit.Repeat
		}
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
			g.send(c.Key, &link.Frame{Granted: &link.Granted{Key: c.Key, Room: g.room()}})
		case gate.Queue:
			g.send(c.Key, &link.Frame{Queued: &link.Queued{Key: c.Key, Room: g.room()}})
		case gate.Refuse:
			g.send(c.Key, &link.Frame{Refused: &link.Refused{Key: c.Key, Reason: c.Reason, RetryAfter: c.RetryAfter, Room: g.room()}})
		case gate.Warn:
			g.send(c.Key, &link.Frame{Overdue: &link.Overdue{Key: c.Key}})
		case gate.Start:
			g.run(c.Key)
		case gate.Abort:
			g.finish(c.Key, gate.NoEvidence, 0)
		case gate.Announce:
			g.announce()
		}
	}
}

// room returns the gate's room as it is sent in messages.
func (g *replayGate) room() *link.Room { return g.admission.Room(g.now()) }

// status returns the gate's status as it is sent in messages.
func (g *replayGate) status() link.Status {
	s := g.admission.Status()
	s.Room = g.room()
	return s
}

// announce sends the gate's status to every node.
func (g *replayGate) announce() {
	s := g.status()
	for _, n := range g.replay.nodes {
		if e := n.endpoints[g]; e != nil {
			n.forwarder.ReceiveStatus(e, s, g.replay.now)
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

// run runs a request on the upstream. By the scenario's faults, the upstream may shed
// it, break it, hang or answer with an error.
func (g *replayGate) run(k link.Key) {
	p, r := g.replay, g.runs[k]
	began := p.now
	p.arrivals.arrive(g.service, r.offer.Attempt, p.elapsed())
	if r.offer.Content != nil && r.offer.Retryable {
		g.send(k, &link.Frame{Granted: &link.Granted{Key: k, Started: true, Room: g.room()}})
	}
	kind := p.kinds[r.offer.Kind]
	work := time.Duration(float64(kind.Work) * math.Exp(kind.Spread*p.random.NormFloat64()-kind.Spread*kind.Spread/2))
	if p.scenario.Count.contains(p.elapsed()) && g.limit() > 0 {
		p.totals[limitedStarts].total++
	}
	if p.scenario.Count.contains(p.elapsed()) && r.node.centre != g.centre {
		p.totals[kind.Name].crossed++
	}
	fault := p.scenario.fault(g.service, g.index, p.elapsed(), p.random)
	switch fault {
	case "shed":
		p.after(replayShed, func() { g.finish(k, gate.Shed, replayShed) })
	case "break":
		p.after(replayShed, func() { g.finish(k, gate.Broken, replayShed) })
	case "hang":
		p.after(replayHang, func() { g.finish(k, gate.NoEvidence, replayHang) })
	case "error":
		p.after(work, func() { g.worked(k, kind, began, gate.Erred) })
	default:
		p.after(work, func() { g.worked(k, kind, began, gate.Good) })
	}
}

// node returns a node of the gate's data centre. Nodes and gates take turns among the data centres
// alike.
func (g *replayGate) node() *replayNode { return g.replay.nodes[g.index%len(g.replay.nodes)] }

// limit returns the limit that the upstream names now; 0 for none.
func (g *replayGate) limit() float64 {
	return g.replay.scenario.limit(g.service, g.index, g.replay.elapsed())
}

// worked ends a run, after its nested requests if the route makes any and if they are answered.
func (g *replayGate) worked(k link.Key, kind routeLoad, began time.Time, o gate.Outcome) {
	p, r := g.replay, g.runs[k]
	if r == nil || r.over || kind.CallTimes == 0 || kind.CallShare > 0 && p.random.Float64() >= kind.CallShare {
		g.finish(k, o, p.now.Sub(began))
		return
	}
	name := r.offer.Attempt
	p.parents[name] = overload.Parent{Priority: r.offer.Priority, TargetDeadline: began.Add(r.offer.Target), Deadline: began.Add(r.offer.TimeLeft), Repeat: r.repeat,
		Account: cmp.Or(r.offer.ParentAccount, r.offer.Account), Weight: r.offer.Weight}
	node := g.node()
	left := kind.CallTimes
	admission, called := g.admission, p.scenario.route(kind.Calls)
	var call func()
	call = func() {
		p.number++
		asked := p.now
		admission.NestedBegan(asked, k, called.Service)
		p.ask(node, called, name+"."+strconv.FormatUint(p.number, 10), "", g, func(f *replayRequest, ok bool) {
			admission.NestedEnded(p.now, k, called.Service, p.now.Sub(asked), f.status(ok))
			left--
			r.spent = r.spent || !ok && f.lacksBudget()
			switch {
			case !ok:
				g.finish(k, gate.NestedFailed, p.now.Sub(began))
			case left == 0:
				g.finish(k, o, p.now.Sub(began))
			case kind.InTurn && !r.over:
				call()
				return
			}
			if left == 0 || kind.InTurn {
				delete(p.parents, name)
			}
		})
	}
	call()
	for range kind.CallTimes - 1 {
		if !kind.InTurn {
			call()
		}
	}
}

// finish ends a run and reports it to the node.
func (g *replayGate) finish(k link.Key, o gate.Outcome, took time.Duration) {
	r := g.runs[k]
	if r == nil || r.over || g.whenAwake(func() { g.finish(k, o, took) }) {
		return
	}
	r.over = true
	switch o {
	case gate.Good:
		header := http.Header{"Response-Stamp": {g.name()}}
		said := gate.Stated{At: g.now(), HeardAt: g.now(), Upstream: port.Incarnation{ID: "i-" + g.name()}, Statement: port.Statement{Limit: port.NamedLimit{State: port.LimitNone}}}
		if limit := g.limit(); limit > 0 {
			header.Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
			said.Limit = port.NamedLimit{State: port.LimitNamed, Rate: limit}
		}
		g.update(said)
		g.send(k, &link.Frame{Answer: &link.Answer{Key: k, Status: http.StatusOK, Header: header, MeanResponseTime: g.admission.Status().MeanResponseTime, Room: g.room()}})
	case gate.Erred, gate.NestedFailed:
		g.send(k, &link.Frame{Answer: &link.Answer{Key: k, Status: http.StatusInternalServerError, BudgetSpent: r.spent, MeanResponseTime: g.admission.Status().MeanResponseTime, Room: g.room()}})
	case gate.Shed:
		g.send(k, &link.Frame{Refused: &link.Refused{Key: k, Reason: link.ReasonShed, Room: g.room()}})
	default:
		g.send(k, &link.Frame{Failed: &link.Failed{Key: k, Detail: o.String()}})
	}
	delete(g.runs, k)
	g.update(gate.Ended{At: g.now(), Key: k, Outcome: o, Took: took})
}
