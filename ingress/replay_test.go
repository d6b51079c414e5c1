package ingress

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"eiderfold/clocktest"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/platform"
	"eiderfold/route"
	"eiderfold/switches"
)

const (
	replayHost = "office.example"
	// replayDelay is the latency of a message between two nodes, and replayFar the latency
	// between data centres.
	replayDelay = 300 * time.Microsecond
	replayFar   = 1500 * time.Microsecond
	replayTick  = 50 * time.Millisecond
	replayShed  = time.Millisecond // An upstream sheds at once.
	replayHang  = time.Minute
	replaySlack = 20 // Repeats per gate that the budget allows beyond its ratio.
	replayRatio = 0.2
)

// replay runs a scenario against the decision logic alone: admissions and in-flight
// requests get events in simulated time, one after the other. Nothing runs concurrently,
// so a replay is deterministic.
type replay struct {
	scenario scenario
	random   *rand.Rand
	now      time.Time
	begin    time.Time
	events   eventHeap
	number   uint64
	gates    []*replayGate
	nodes    []*replayNode
	parents  map[string]overload.Parent
	arrivals arrivals
	totals   map[string]*totals
	kinds    map[uint32]routeLoad
}

// totals holds the results of a route's requests.
type totals struct {
	total, inTime, late, refused, failed int
	crossed                              int             // Starts in another data centre.
	refusalTimes                         []time.Duration // From arrival until a refusal.
}

// replayNode is a node that receives a data centre's requests.
type replayNode struct {
	replay    *replay
	centre    string
	forwarder *Forwarder
	endpoints map[*replayGate]*Endpoint
	requests  map[uint64]*replayRequest // By the offer's number.
}

// replayRequest is a request in flight.
type replayRequest struct {
	*inFlightRequest
	node  *replayNode
	wakes uint64 // Number of the latest wake-up; earlier ones are ignored.
	done  func(f *replayRequest, ok bool)
	ended bool
}

// after schedules do to run after d.
func (p *replay) after(d time.Duration, do func()) {
	p.number++
	heap.Push(&p.events, timedEvent{at: p.now.Add(d), number: p.number, do: do})
}

// newReplay sets up the nodes and gates of a scenario, with some mechanisms off.
func newReplay(l scenario, seed uint64, off ...string) (*replay, error) {
	set, err := switches.Off(off...)
	if err != nil {
		return nil, err
	}
	begin := clocktest.At(time.Unix(1_000_000, 0), time.Hour)
	p := &replay{scenario: l, random: rand.New(rand.NewPCG(seed, 7)), now: begin, begin: begin, parents: map[string]overload.Parent{}, arrivals: arrivals{}, totals: map[string]*totals{}, kinds: map[uint32]routeLoad{}}
	table, err := route.New(l.document())
	if err != nil {
		return nil, err
	}
	for range max(l.Nodes, 1) {
		for _, centre := range l.centres() {
			p.nodes = append(p.nodes, p.newNode(centre, table, set))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.Services)) {
		for i := range l.Services[name].Gates {
			p.gates = append(p.gates, p.newGate(name, l.Services[name], i, set))
		}
	}
	for _, n := range p.nodes {
		for _, g := range p.gates {
			n.addEndpoint(g)
		}
	}
	p.totals[limitedStarts] = &totals{}
	for _, a := range l.Accounts {
		p.totals[a.Name] = &totals{}
	}
	p.scheduleTroubles()
	for _, r := range l.Restarts {
		p.after(r.From, func() { p.restart(r) })
	}
	for _, r := range l.Routes {
		p.totals[r.Name] = &totals{}
		matched, _ := table.Match(replayHost, r.path())
		p.kinds[matched.Kind()] = r
		if r.Rate > 0 {
			for _, a := range l.accounts() {
				p.arrive(r, a)
			}
		}
	}
	return p, nil
}

func (p *replay) newNode(centre string, table *route.Table, set switches.Set) *replayNode {
	endpoints := NewEndpoints(centre, 0.7)
	endpoints.SetSwitches(set)
	endpoints.draw = p.random.Float64
	n := &replayNode{replay: p, centre: centre, endpoints: map[*replayGate]*Endpoint{}, requests: map[uint64]*replayRequest{}}
	n.forwarder = NewForwarder("caller", endpoints, platform.Headers{}, zap.NewNop(), noCounts{},
		WithParents(func(attempt string) (overload.Parent, bool) {
			parent, ok := p.parents[attempt]
			return parent, ok
		}))
	n.forwarder.SetTable(table)
	return n
}

// run runs the scenario to its end.
func (p *replay) run() {
	end := p.begin.Add(p.scenario.Length)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(timedEvent)
		if e.at.After(end) {
			return
		}
		p.now = e.at
		e.do()
	}
}

// elapsed returns the time since the beginning.
func (p *replay) elapsed() time.Duration { return p.now.Sub(p.begin) }

// arrive schedules the next request of a route by an account, which in turn schedules the one after
// it.
func (p *replay) arrive(r routeLoad, a accountLoad) {
	rate := r.Rate * p.scenario.mostFactor(p.elapsed()) * a.Part
	if a.contains(p.elapsed()) {
		rate *= a.Times
	}
	gap := p.random.ExpFloat64() / rate
	p.after(time.Duration(gap*float64(time.Second)), func() {
		p.number++
		n := p.nodes[p.random.IntN(len(p.nodes))]
		if share := p.scenario.factor(n.centre, p.elapsed()) / p.scenario.mostFactor(p.elapsed()); share == 1 || p.random.Float64() < share {
			p.ask(n, r, "a"+strconv.FormatUint(p.number, 10), a.Name, nil, func(*replayRequest, bool) {})
		}
		p.arrive(r, a)
	})
}

// ask sends a request with an account's key, which may be unknown. done gets it and whether it was answered.
func (p *replay) ask(n *replayNode, r routeLoad, attempt, accountKey string, caller *replayGate, done func(f *replayRequest, ok bool)) {
	counted := p.elapsed() >= p.scenario.Count.From && p.elapsed() < p.scenario.Count.To
	req, refused := n.forwarder.prepare(&Request{Method: http.MethodGet, RequestURI: r.path(), URL: &url.URL{Path: r.path()}, Host: replayHost,
		Header: http.Header{"Authorization": {"Token " + accountKey}, "Attempt-Id": {attempt}, "Deadline-Ms": {strconv.FormatInt(r.Timeout.Milliseconds(), 10)}}, Arrived: p.now})
	if refused != nil {
		panic("request of the scenario was refused: " + string(refused.Body))
	}
	arrived := p.now
	p.arrivals.request(r.Service, attempt, p.elapsed(), req.inRepeat)
	f := &replayRequest{inFlightRequest: req, node: n}
	f.done = func(f *replayRequest, ok bool) {
		if counted {
			p.totals[r.Name].add(f, ok, p.now.Sub(arrived), r.Target)
			if t := p.totals[strings.TrimRight(req.share.account, "0123456789")]; t != nil {
				t.add(f, ok, p.now.Sub(arrived), r.Target)
			}
		}
		done(f, ok)
	}
	if caller != nil {
		req.saturated = caller.admission.Saturated
	}
	req.offerNext(p.now)
	f.track()
}

// merge adds the results in o.
func (t *totals) merge(o *totals) {
	t.total += o.total
	t.inTime += o.inTime
	t.late += o.late
	t.refused += o.refused
	t.failed += o.failed
	t.crossed += o.crossed
	t.refusalTimes = append(t.refusalTimes, o.refusalTimes...)
}

// add counts a finished request.
func (t *totals) add(f *replayRequest, ok bool, took, target time.Duration) {
	t.total++
	switch {
	case ok && took <= target:
		t.inTime++
	case ok:
		t.late++
	case f.runs == 0:
		t.refused++
		t.refusalTimes = append(t.refusalTimes, took)
	default:
		t.failed++
	}
}

// track registers new offers and schedules the next wake-up.
func (f *replayRequest) track() {
	if f.ended {
		return
	}
	for _, o := range f.offers {
		f.node.requests[o.key.Number] = f
	}
	if f.inFlightRequest.finalResponse != nil {
		f.end(f.inFlightRequest.finalResponse)
		return
	}
	f.wakes++
	wake := f.wakes
	f.node.replay.after(max(f.nextWake().Sub(f.node.replay.now), 0), func() {
		if f.ended || wake != f.wakes {
			return
		}
		f.step(f.tick(f.node.replay.now))
	})
}

// step ends the request if there is an answer, and tracks it otherwise.
func (f *replayRequest) step(r *Response) {
	if r != nil {
		f.end(r)
		return
	}
	f.track()
}

func (f *replayRequest) end(r *Response) {
	f.ended = true
	f.withdrawAll()
	f.done(f, r.Status < http.StatusInternalServerError)
}

// deliver passes a gate's message to its request.
func (n *replayNode) deliver(frame *link.Frame) {
	k, _ := keyOf(frame)
	f := n.requests[k.Number]
	if f == nil || f.ended {
		return
	}
	f.step(f.handle(event{frame: frame, key: k.Number}, n.replay.now))
}
