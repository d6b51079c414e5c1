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

// modelSchedules is how many random schedules a test run plays. The environment variable
// EIDERFOLD_SCHEDULES overrides it.
const modelSchedules = 1500

// fault is a fault injected into the model, to check that the model detects it.
type fault uint8

const (
	faultNone fault = iota
	// faultFailedAsRefused delivers an unknown outcome as "not run".
	faultFailedAsRefused
	// faultQueryAsNeverSeen answers every OutcomeQuery with "not run".
	faultQueryAsNeverSeen
	// faultSameProcess gives a restarted gate the process id of the previous one.
	faultSameProcess
)

// model is one schedule: an ingress, some gates with their upstreams, and links that delay
// frames, break and reconnect, in simulated time.
type model struct {
	random     *rand.Rand
	fault      fault
	forwarder  *ingress.Forwarder
	gates      []*modelGate
	mu         sync.Mutex
	runs       map[string]int
	refused    map[string]bool
	violations []string
}

// modelGate is a gate's process, its upstream, and the link to it.
type modelGate struct {
	model    *model
	endpoint *ingress.Endpoint
	name     string
	gate     *Gate
	cancel   context.CancelFunc
	done     chan struct{}
	process  uint64
	link     *modelLink
}

// modelLink delivers frames in order, with separate random delays in each direction.
type modelLink struct {
	gate      *modelGate
	toGate    chan *link.Frame
	toIngress chan *link.Frame
	closed    chan struct{}
	once      sync.Once
}

func (l *modelLink) Send(f *link.Frame) bool { return push(l.toGate, f, l.closed) }

// LastPong returns the current time: a running process replies to pings at once, and a stopped
// one has no link.
func (l *modelLink) LastPong() time.Time { return time.Now() }

// gateSide is the gate's end of a link.
type gateSide struct{ *modelLink }

func (r gateSide) Send(f *link.Frame) bool { return push(r.toIngress, f, r.closed) }

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

// modelUpstream simulates the connection to the upstream.
type modelUpstream struct{ model *model }

func (u modelUpstream) do(ctx context.Context, r *link.Content, _ port.OutgoingMetadata, _ bool, _ sendGuard) (*answer, *failure) {
	m := u.model
	attempt := r.Header["Attempt-Id"][0]
	switch m.draw(10) {
	case 0:
		return nil, &failure{outcome: Unreached, reason: link.ReasonNotConnected}
	case 1:
		return nil, &failure{outcome: Shed, reason: link.ReasonShed}
	}
	m.noteRun(attempt)
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

func (modelUpstream) checkHealth(context.Context, string) (*healthAnswer, error) {
	return nil, errors.New("none")
}
func (modelUpstream) closeIdle(bool) {}

func (m *model) draw(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

func (m *model) noteRun(attempt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[attempt]++
	if m.runs[attempt] > 1 {
		m.violations = append(m.violations, "ran twice: "+attempt)
	}
	if m.refused[attempt] {
		m.violations = append(m.violations, "ran after it was refused: "+attempt)
	}
}

func (m *model) checkResponse(attempt string, r *ingress.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case r.Status == http.StatusOK && m.runs[attempt] == 0:
		m.violations = append(m.violations, "answered without a run: "+attempt)
	case r.Status == http.StatusServiceUnavailable:
		m.refused[attempt] = true
		if m.runs[attempt] > 0 {
			m.violations = append(m.violations, "refused after it ran: "+attempt)
		}
	}
}

type noCounts struct{}

func (noCounts) Count(string)                  {}
func (noCounts) Observe(string, time.Duration) {}

// newModel starts gates and links. It must run inside a synctest bubble.
func newModel(t *testing.T, seed uint64, p fault) *model {
	t.Helper()
	m := &model{random: rand.New(rand.NewPCG(seed, 3)), fault: p, runs: map[string]int{}, refused: map[string]bool{}}
	endpoints := ingress.NewEndpoints("here", 0.7)
	m.forwarder = ingress.NewForwarder("caller", endpoints, platform.Headers{}, zap.NewNop(), noCounts{})
	table, err := route.New(route.Document{Version: 1, Services: []route.Service{{Name: scriptService}}, Routes: []route.Route{{
		Name: "order", Host: "office.example", Prefix: "/", Timeout: 3 * time.Second, Target: time.Second, Attempts: 2,
		Shares: []route.Share{{Service: scriptService, Weight: 1}},
	}}})
	require.NoError(t, err)
	m.forwarder.SetTable(table)
	for i := range 2 {
		g := &modelGate{model: m, name: fmt.Sprintf("g%d", i), endpoint: ingress.NewEndpoint(link.Member{Name: fmt.Sprintf("g%d", i), Service: scriptService, DataCentre: "here"})}
		endpoints.Add(g.endpoint)
		m.gates = append(m.gates, g)
		g.start()
		g.connect()
	}
	return m
}

// start starts a gate process without any state.
func (g *modelGate) start() {
	if g.model.fault != faultSameProcess || g.process == 0 {
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

// connect opens a link, as the dialing node does.
func (g *modelGate) connect() {
	l := &modelLink{gate: g, toGate: make(chan *link.Frame, 256), toIngress: make(chan *link.Frame, 256), closed: make(chan struct{})}
	g.link = l
	g.endpoint.SetStatus(g.gate.Status(), time.Now())
	gate := g.gate
	go l.deliverAll(l.toGate, func(f *link.Frame) { g.toGate(gate, l, f) }, func() { gate.LinkLost(gateSide{l}) })
	go l.deliverAll(l.toIngress, g.toIngress, func() {})
	g.model.forwarder.Connected(g.endpoint, l, g.process)
}

// deliverAll delivers the frames of one direction until the link is closed, and then some of
// those in transit: the two ends notice a broken link at different times.
func (l *modelLink) deliverAll(frames chan *link.Frame, deliver func(*link.Frame), end func()) {
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
	if f.OutcomeQuery != nil && g.model.fault == faultQueryAsNeverSeen {
		gateSide{l}.Send(&link.Frame{Refused: &link.Refused{Key: f.OutcomeQuery.Key, Reason: link.ReasonNeverSeen}})
		return
	}
	gate.Handle(gateSide{l}, f)
}

func (g *modelGate) toIngress(f *link.Frame) {
	if f.Failed != nil && g.model.fault == faultFailedAsRefused {
		f = &link.Frame{Refused: &link.Refused{Key: f.Failed.Key, Reason: link.ReasonNeverSeen}}
	}
	g.model.forwarder.Deliver(f)
}

// disturb breaks the link and, at random, restarts the gate's process.
func (g *modelGate) disturb() {
	l := g.link
	l.close()
	g.model.forwarder.Disconnected(g.endpoint, l)
	if g.model.draw(3) == 0 {
		g.cancel()
		<-g.done
		g.start()
	}
	time.Sleep(time.Duration(g.model.draw(300)) * time.Millisecond)
	g.connect()
}

// play runs one schedule and returns the violations.
func play(t *testing.T, seed uint64, p fault) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(t, seed, p)
		var callers sync.WaitGroup
		for i := range 1 + m.draw(5) {
			callers.Go(func() {
				time.Sleep(time.Duration(m.draw(200)) * time.Millisecond)
				attempt := "a" + strconv.Itoa(i)
				r := m.forwarder.Serve(context.Background(), &ingress.Request{Method: http.MethodPost, RequestURI: "/x", URL: &url.URL{Path: "/x"},
					Host: "office.example", Header: http.Header{"Attempt-Id": {attempt}, "Deadline-Ms": {"3000"}}, Arrived: time.Now()})
				m.checkResponse(attempt, r)
			})
		}
		for range m.draw(4) {
			time.Sleep(time.Duration(m.draw(250)) * time.Millisecond)
			m.gates[m.draw(len(m.gates))].disturb()
		}
		callers.Wait()
		time.Sleep(10 * time.Second) // A delayed request would run now.
		for _, g := range m.gates {
			g.link.close()
			g.cancel()
		}
		m.mu.Lock()
		violations = m.violations
		m.mu.Unlock()
	})
	return violations
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

// TestModelRunsAtMostOnce plays random schedules of non-retryable requests, broken links,
// delayed frames and restarted gates: nothing may run twice, and nothing may run after it was
// refused.
func TestModelRunsAtMostOnce(t *testing.T) {
	for seed := range schedules(t) {
		require.Empty(t, play(t, seed, faultNone), "seed %d", seed)
	}
}

// TestModelFindsInjectedFaults checks that the model detects faults.
func TestModelFindsInjectedFaults(t *testing.T) {
	for _, p := range []fault{faultFailedAsRefused, faultQueryAsNeverSeen, faultSameProcess} {
		found := 0
		for seed := range uint64(modelSchedules) {
			if len(play(t, seed, p)) > 0 {
				found++
			}
		}
		assert.Positive(t, found, "injected fault %d", p)
		t.Logf("injected fault %d: found by %d of %d schedules", p, found, modelSchedules)
	}
}
