package ingress

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/platform"
	"eiderfold/route"
	"eiderfold/switches"
)

const (
	replayHost = "office.example"
	// replayDelay is what a message between two nodes takes, and replayFar between data
	// centres.
	replayDelay = 300 * time.Microsecond
	replayFar   = 1500 * time.Microsecond
	replayTick  = 50 * time.Millisecond
	replayShed  = time.Millisecond // An upstream sheds at once.
	replayHang  = time.Minute
	replaySlack = 20 // The fleet's repeats beside its ratio, a gate.
	replayRatio = 0.2
)

// replay plays a load against the decisions alone: admissions and flights are told what
// happens in simulated time, one event after the other. Nothing waits and nothing runs
// beside anything else, so a replay repeats to the last digit.
type replay struct {
	load    load
	random  *rand.Rand
	now     time.Time
	begin   time.Time
	events  eventHeap
	number  uint64
	gates   []*replayGate
	nodes   []*replayNode
	parents map[string]overload.Parent
	totals  map[string]*totals
	kinds   map[uint32]routeLoad
}

// totals are what became of a route's requests.
type totals struct {
	asked, inTime, late, refused, failed int
	told                                 []time.Duration // From arrival until a refusal.
}

// replayNode is where a data centre's requests arrive.
type replayNode struct {
	replay    *replay
	centre    string
	forwarder *Forwarder
	flights   map[uint64]*replayFlight // By the offer's number.
}

// replayFlight is a request in flight.
type replayFlight struct {
	*flight
	node  *replayNode
	wakes uint64 // The latest wake-up; earlier ones are void.
	done  func(ok bool)
	ended bool
}

// after lets something happen later.
func (p *replay) after(d time.Duration, do func()) {
	p.number++
	heap.Push(&p.events, timed{at: p.now.Add(d), number: p.number, do: do})
}

// newReplay starts the gates of a load, with some mechanisms off.
func newReplay(l load, seed uint64, off ...string) (*replay, error) {
	set, err := switches.Off(off...)
	if err != nil {
		return nil, err
	}
	begin := time.Unix(1_000_000, 0)
	p := &replay{load: l, random: rand.New(rand.NewPCG(seed, 7)), now: begin, begin: begin, parents: map[string]overload.Parent{}, totals: map[string]*totals{}, kinds: map[uint32]routeLoad{}}
	table, err := route.New(l.document())
	if err != nil {
		return nil, err
	}
	for _, centre := range l.centres() {
		p.nodes = append(p.nodes, p.newNode(centre, table, set))
	}
	for _, name := range slices.Sorted(maps.Keys(l.Services)) {
		for i := range l.Services[name].Gates {
			p.gates = append(p.gates, p.newGate(name, l.Services[name], i, set))
		}
	}
	for _, n := range p.nodes {
		for _, g := range p.gates {
			n.learn(g)
		}
	}
	for _, r := range l.Routes {
		p.totals[r.Name] = &totals{}
		matched, _ := table.Match(replayHost, r.path())
		p.kinds[matched.Kind()] = r
		if r.Rate > 0 {
			p.arrive(r)
		}
	}
	return p, nil
}

func (p *replay) newNode(centre string, table *route.Table, set switches.Set) *replayNode {
	targets := NewTargets(centre, 0.7)
	targets.SetSwitches(set)
	targets.draw = p.random.Float64
	n := &replayNode{replay: p, centre: centre, flights: map[uint64]*replayFlight{}}
	n.forwarder = NewForwarder("caller", targets, platform.Headers{}, zap.NewNop(), noCounts{},
		WithParents(func(attempt string) (overload.Parent, bool) {
			parent, ok := p.parents[attempt]
			return parent, ok
		}))
	n.forwarder.SetTable(table)
	return n
}

// run plays the load to its end.
func (p *replay) run() {
	end := p.begin.Add(p.load.Length)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(timed)
		if e.at.After(end) {
			return
		}
		p.now = e.at
		e.do()
	}
}

// elapsed is the time since the beginning.
func (p *replay) elapsed() time.Duration { return p.now.Sub(p.begin) }

// arrive lets a route's next request come, and so on.
func (p *replay) arrive(r routeLoad) {
	gap := p.random.ExpFloat64() / (r.Rate * p.load.factor(p.elapsed()))
	p.after(time.Duration(gap*float64(time.Second)), func() {
		p.number++
		n := p.nodes[p.random.IntN(len(p.nodes))]
		p.ask(n, r, "a"+strconv.FormatUint(p.number, 10), nil, func(bool) {})
		p.arrive(r)
	})
}

// ask sends a request; done is told whether it was answered.
func (p *replay) ask(n *replayNode, r routeLoad, attempt string, caller *replayGate, done func(ok bool)) {
	counted := p.elapsed() >= p.load.Count.From && p.elapsed() < p.load.Count.To
	fl, refused := n.forwarder.prepare(&Request{Method: http.MethodGet, RequestURI: r.path(), URL: &url.URL{Path: r.path()}, Host: replayHost,
		Header: http.Header{"Attempt-Id": {attempt}, "Deadline-Ms": {strconv.FormatInt(r.Timeout.Milliseconds(), 10)}}, Arrived: p.now})
	if refused != nil {
		panic("the load's own request was refused: " + string(refused.Body))
	}
	arrived := p.now
	f := &replayFlight{flight: fl, node: n}
	f.done = func(ok bool) {
		if counted {
			p.totals[r.Name].add(f, ok, p.now.Sub(arrived), r.Target)
		}
		done(ok)
	}
	if caller != nil {
		fl.crowded = caller.admission.Crowded
	}
	fl.next(p.now)
	f.track()
}

// merge adds another count.
func (t *totals) merge(o *totals) {
	t.asked += o.asked
	t.inTime += o.inTime
	t.late += o.late
	t.refused += o.refused
	t.failed += o.failed
	t.told = append(t.told, o.told...)
}

// add counts a request that has its end.
func (t *totals) add(f *replayFlight, ok bool, took, target time.Duration) {
	t.asked++
	switch {
	case ok && took <= target:
		t.inTime++
	case ok:
		t.late++
	case f.runs == 0:
		t.refused++
		t.told = append(t.told, took)
	default:
		t.failed++
	}
}

// track takes note of new offers and of the next wake-up.
func (f *replayFlight) track() {
	if f.ended {
		return
	}
	for _, o := range f.offers {
		f.node.flights[o.key.Number] = f
	}
	if f.flight.ended != nil {
		f.end(f.flight.ended)
		return
	}
	f.wakes++
	wake := f.wakes
	f.node.replay.after(max(f.wake().Sub(f.node.replay.now), 0), func() {
		if f.ended || wake != f.wakes {
			return
		}
		f.step(f.tick(f.node.replay.now))
	})
}

// step ends the request if there is an answer.
func (f *replayFlight) step(r *Response) {
	if r != nil {
		f.end(r)
		return
	}
	f.track()
}

func (f *replayFlight) end(r *Response) {
	f.ended = true
	f.withdrawAll()
	f.done(r.Status < http.StatusInternalServerError)
}

// deliver takes a gate's message.
func (n *replayNode) deliver(frame *link.Frame) {
	k, _ := keyOf(frame)
	f := n.flights[k.Number]
	if f == nil || f.ended {
		return
	}
	f.step(f.on(event{frame: frame, key: k.Number}, n.replay.now))
}
