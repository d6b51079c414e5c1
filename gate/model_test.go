package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/budget"
	"eiderfold/ingress"
	"eiderfold/link"
	"eiderfold/platform"
	"eiderfold/port"
	"eiderfold/route"
)

// modelSchedules is how many random schedules a test run plays; by hand,
// EIDERFOLD_SCHEDULES asks for more.
const modelSchedules = 1500

// plant is a fault put into the model on purpose, to see that it is found.
type plant uint8

const (
	plantNone plant = iota
	// plantFailedIsRefused lets an unknown outcome arrive as "not run".
	plantFailedIsRefused
	// plantAskIsNeverSeen lets every question be answered with "not run".
	plantAskIsNeverSeen
	// plantSameProcess lets a restarted gate pass for the one before.
	plantSameProcess
)

// model is one schedule: an ingress, some gates with their upstreams, and links
// that delay, break and come back, in simulated time.
type model struct {
	random    *rand.Rand
	plant     plant
	forwarder *ingress.Forwarder
	gates     []*modelGate
	mu        sync.Mutex
	runs      map[string]int
	denied    map[string]bool
	broken    []string
}

// modelGate is a gate's process, its upstream, and the link to it.
type modelGate struct {
	model   *model
	target  *ingress.Target
	name    string
	gate    *Gate
	cancel  context.CancelFunc
	done    chan struct{}
	process uint64
	link    *modelLink
}

// modelLink carries frames in order, each direction with delays of its own.
type modelLink struct {
	gate   *modelGate
	to     chan *link.Frame
	back   chan *link.Frame
	closed chan struct{}
	once   sync.Once
}

func (l *modelLink) Send(f *link.Frame) bool { return push(l.to, f, l.closed) }

// Ponged returns the present: a process that is there replies to pings, and one that is
// not has no link.
func (l *modelLink) Ponged() time.Time { return time.Now() }

// returning is the gate's side of a link.
type returning struct{ *modelLink }

func (r returning) Send(f *link.Frame) bool { return push(r.back, f, r.closed) }

func push(to chan *link.Frame, f *link.Frame, closed chan struct{}) bool {
	select {
	case <-closed:
		return false
	default:
	}
	select {
	case to <- f:
		return true
	default:
		return false
	}
}

func (l *modelLink) close() { l.once.Do(func() { close(l.closed) }) }

// modelUpstream stands in for the upstream's connection.
type modelUpstream struct{ model *model }

func (u modelUpstream) do(ctx context.Context, r *link.Content, _ port.OutgoingTerms, _ bool) (*answer, *failure) {
	m := u.model
	attempt := r.Header["Attempt-Id"][0]
	switch m.draw(10) {
	case 0:
		return nil, &failure{outcome: Unreached, reason: link.ReasonNotConnected}
	case 1:
		return nil, &failure{outcome: Shed, reason: link.ReasonShed}
	}
	m.ran(attempt)
	select {
	case <-time.After(time.Duration(m.draw(400)) * time.Millisecond):
	case <-ctx.Done():
		return nil, &failure{outcome: NoEvidence, detail: "given up"}
	}
	if m.draw(8) == 0 {
		return nil, &failure{outcome: Broken, detail: "reset"}
	}
	return &answer{status: http.StatusOK, header: http.Header{}}, nil
}

func (modelUpstream) processEnded(context.Context) bool { return false }

func (modelUpstream) checkHealth(context.Context, string) (string, error) {
	return "", errors.New("none")
}
func (modelUpstream) drop(bool) {}

func (m *model) draw(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

func (m *model) ran(attempt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[attempt]++
	if m.runs[attempt] > 1 {
		m.broken = append(m.broken, "ran twice: "+attempt)
	}
	if m.denied[attempt] {
		m.broken = append(m.broken, "ran after it was refused: "+attempt)
	}
}

func (m *model) told(attempt string, r *ingress.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case r.Status == http.StatusOK && m.runs[attempt] == 0:
		m.broken = append(m.broken, "answered without a run: "+attempt)
	case r.Status == http.StatusServiceUnavailable:
		m.denied[attempt] = true
		if m.runs[attempt] > 0 {
			m.broken = append(m.broken, "refused after it ran: "+attempt)
		}
	}
}

type noCounts struct{}

func (noCounts) Count(string)                  {}
func (noCounts) Observe(string, time.Duration) {}

// newModel starts gates and links inside of a bubble of simulated time.
func newModel(t *testing.T, seed uint64, p plant) *model {
	t.Helper()
	m := &model{random: rand.New(rand.NewPCG(seed, 3)), plant: p, runs: map[string]int{}, denied: map[string]bool{}}
	targets := ingress.NewTargets("here", 0.7)
	m.forwarder = ingress.NewForwarder("caller", targets, platform.Headers{}, zap.NewNop(), noCounts{})
	table, err := route.New(route.Document{Version: 1, Services: []route.Service{{Name: scriptService}}, Routes: []route.Route{{
		Name: "order", Host: "office.example", Prefix: "/", Timeout: 3 * time.Second, Target: time.Second, Attempts: 2,
		Shares: []route.Share{{Service: scriptService, Weight: 1}},
	}}})
	require.NoError(t, err)
	m.forwarder.SetTable(table)
	for i := range 2 {
		g := &modelGate{model: m, name: fmt.Sprintf("g%d", i), target: ingress.NewTarget(link.Member{Name: fmt.Sprintf("g%d", i), Service: scriptService, DataCentre: "here"})}
		targets.Add(g.target)
		m.gates = append(m.gates, g)
		g.start()
		g.connect()
	}
	return m
}

// start begins a process that remembers nothing.
func (g *modelGate) start() {
	if g.model.plant != plantSameProcess || g.process == 0 {
		g.process++
	}
	g.gate = New(Upstream{Service: scriptService}, platform.Headers{}, zap.NewNop(), WithBudget(budget.New(1, 400, time.Time{})))
	g.gate.client = modelUpstream{g.model}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.done = make(chan struct{})
	go func(gate *Gate, done chan struct{}) {
		gate.Run(ctx)
		close(done)
	}(g.gate, g.done)
	g.gate.Report(port.Report{Incarnation: port.Incarnation{ID: "i-" + g.name}, Service: scriptService, Slots: 2, Sequence: 1})
	synctest.Wait()
}

// connect makes a link, as the dialing side does.
func (g *modelGate) connect() {
	l := &modelLink{gate: g, to: make(chan *link.Frame, 256), back: make(chan *link.Frame, 256), closed: make(chan struct{})}
	g.link = l
	g.target.SetStatus(g.gate.Status(), time.Now())
	gate := g.gate
	go l.carry(l.to, func(f *link.Frame) { g.toGate(gate, l, f) }, func() { gate.Lost(returning{l}) })
	go l.carry(l.back, g.toIngress, func() {})
	g.model.forwarder.Connected(g.target, l, g.process)
}

// carry delivers one direction until the link is closed. What is on its way then
// is delivered in part: a cut is seen at different times at its two ends.
func (l *modelLink) carry(frames chan *link.Frame, deliver func(*link.Frame), end func()) {
	defer end()
	for {
		select {
		case f := <-frames:
			time.Sleep(time.Duration(l.gate.model.draw(40)) * time.Millisecond)
			deliver(f)
		case <-l.closed:
			for range l.gate.model.draw(4) {
				select {
				case f := <-frames:
					time.Sleep(time.Duration(l.gate.model.draw(200)) * time.Millisecond)
					deliver(f)
				default:
				}
			}
			return
		}
	}
}

func (g *modelGate) toGate(gate *Gate, l *modelLink, f *link.Frame) {
	if f.Ask != nil && g.model.plant == plantAskIsNeverSeen {
		returning{l}.Send(&link.Frame{Refused: &link.Refused{Key: f.Ask.Key, Reason: link.ReasonNeverSeen}})
		return
	}
	gate.Handle(returning{l}, f)
}

func (g *modelGate) toIngress(f *link.Frame) {
	if f.Failed != nil && g.model.plant == plantFailedIsRefused {
		f = &link.Frame{Refused: &link.Refused{Key: f.Failed.Key, Reason: link.ReasonNeverSeen}}
	}
	g.model.forwarder.Deliver(f)
}

// disturb breaks the link, or restarts the gate's process.
func (g *modelGate) disturb() {
	l := g.link
	l.close()
	g.model.forwarder.Disconnected(g.target, l)
	if g.model.draw(3) == 0 {
		g.cancel()
		<-g.done
		g.start()
	}
	time.Sleep(time.Duration(g.model.draw(300)) * time.Millisecond)
	g.connect()
}

// play runs one schedule and returns what it broke.
func play(t *testing.T, seed uint64, p plant) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(t, seed, p)
		var callers sync.WaitGroup
		for i := range 1 + m.draw(5) {
			callers.Go(func() {
				time.Sleep(time.Duration(m.draw(200)) * time.Millisecond)
				attempt := "a" + strconv.Itoa(i)
				r := m.forwarder.Serve(context.Background(), &ingress.Request{Method: http.MethodPost, RequestURI: "/x", URL: &url.URL{Path: "/x"},
					Host: "office.example", Header: http.Header{"Attempt-Id": {attempt}, "Deadline-Ms": {"3000"}}, Arrived: time.Now()})
				m.told(attempt, r)
			})
		}
		for range m.draw(4) {
			time.Sleep(time.Duration(m.draw(250)) * time.Millisecond)
			m.gates[m.draw(len(m.gates))].disturb()
		}
		callers.Wait()
		time.Sleep(10 * time.Second) // Whatever is late would run now.
		for _, g := range m.gates {
			g.link.close()
			g.cancel()
		}
		m.mu.Lock()
		broken = m.broken
		m.mu.Unlock()
	})
	return broken
}

func schedules(t *testing.T) uint64 {
	t.Helper()
	text, ok := os.LookupEnv("EIDERFOLD_SCHEDULES")
	if !ok {
		return modelSchedules
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return n
}

// TestModelRunsAtMostOnce plays random schedules of orders, broken links, delayed
// messages and restarted gates: nothing runs twice, and what was refused never runs.
func TestModelRunsAtMostOnce(t *testing.T) {
	for seed := range schedules(t) {
		require.Empty(t, play(t, seed, plantNone), "seed %d", seed)
	}
}

// TestModelFindsPlantedFaults shows that the model can fail.
func TestModelFindsPlantedFaults(t *testing.T) {
	for _, p := range []plant{plantFailedIsRefused, plantAskIsNeverSeen, plantSameProcess} {
		found := 0
		for seed := range uint64(modelSchedules) {
			if len(play(t, seed, p)) > 0 {
				found++
			}
		}
		assert.Positive(t, found, "planted fault %d", p)
		t.Logf("planted fault %d: found by %d of %d schedules", p, found, modelSchedules)
	}
}
