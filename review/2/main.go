// Command 2 plays case 2: two machines get SIGTERM at the same time. Requests that one of them has read
// wait for the service of the other one.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/stand"
)

const (
	host   = "mbec.example"
	cycles = 5
	// lost is lostMs of the site files.
	lost = 200 * time.Millisecond
	// The routes have the figures of two sheets: family-upload (aim 6,000 ms, deadline 20,000 ms) and
	// settle-preview (aim 5,000 ms, timeout 10,000 ms, deadline 20,000 ms, work 1,900 ms).
	deadline = 20 * time.Second
	timeout  = 10 * time.Second
	work     = 1900 * time.Millisecond
	// In the first sound cycles the back ends answer everything well, and nothing but the two SIGTERMs
	// happens. In the later ones the back ends fail this part of their requests with a 500 of their own, as
	// the pages say that some do for some seconds at any time; also without the disruption.
	sound   = 3
	failing = 0.75
	// clients is how many clients on the stopping machine send a preview, and uploads how many uploads
	// are sent to its back end.
	clients = 4
	uploads = 3
)

const configuration = `{"version":"r2","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"authority":"mbec.example","rules":[
{"name":"family-upload","routeKind":"upload","targetLatencyMs":6000,"priority":1,"match":{"pathPrefix":"/family/"},"action":{"service":"storefront","timeoutMs":20000,"maxAttempts":2}},
{"name":"settle-preview","routeKind":"idempotent","targetLatencyMs":5000,"priority":1,"match":{"pathPrefix":"/settle/"},"action":{"service":"dispatchhub","timeoutMs":10000,"maxAttempts":2}}]}],
"clusters":[{"name":"storefront","healthPath":"/health","maxConnections":330},{"name":"dispatchhub","healthPath":"/health","maxConnections":330},{"name":"other","healthPath":"/health","maxConnections":330}]}`

type game struct {
	fleet    *stand.Fleet
	caller   *stand.Machine // Its back end makes calls.
	called   *stand.Machine // The only machine of the service that is called.
	fails    atomic.Bool    // The back ends are in a spell in which they fail.
	mu       sync.Mutex
	term     time.Time // The last SIGTERM of the caller's node.
	broken   []string
	answered int
	requests int
}

func main() { os.Exit(play()) }

func fail(err error) int {
	fmt.Println("could not run:", err)
	return 2
}

func play() int {
	f, err := stand.NewFleet(os.Args[1], "muscat-a", "muscat-b")
	if err != nil {
		return fail(err)
	}
	defer f.Close()
	g := &game{fleet: f}
	f.Store.Put("op/config", []byte(configuration))
	var machines []*stand.Machine
	for i, s := range []string{"storefront", "dispatchhub", "other"} {
		m, err := f.NewMachine(fmt.Sprintf("sidecar-%d", i+1), f.Zones[i%2], s, "")
		if err != nil {
			return fail(err)
		}
		machines = append(machines, m)
	}
	g.caller, g.called = machines[0], machines[1]
	for _, m := range machines {
		if _, err := stand.StartServer(m, fmt.Sprintf("i-%08x", rand.Uint32()), 4, g.behave); err != nil {
			return fail(err)
		}
		if err := m.Start(); err != nil {
			return fail(err)
		}
	}
	for _, m := range machines {
		if err := m.AwaitReady(15 * time.Second); err != nil {
			return fail(err)
		}
	}
	time.Sleep(3 * time.Second)
	for i := range cycles {
		time.Sleep(3 * time.Second)
		g.fails.Store(i >= sound)
		if err := g.cycle(i, machines[2]); err != nil {
			return fail(err)
		}
	}
	return g.verdict()
}

// cycle stops and starts the two machines once, while uploads are under way.
func (g *game) cycle(number int, from *stand.Machine) error {
	trouble := os.Getenv("TROUBLE") != "0"
	g.mu.Lock()
	g.term = time.Now()
	g.mu.Unlock()
	if trouble {
		g.fleet.Record.Add("SIGTERM to %s and %s", g.caller.Name, g.called.Name)
		g.caller.Signal(syscall.SIGTERM)
		g.called.Signal(syscall.SIGTERM)
	}
	time.Sleep(1300 * time.Millisecond) // Less than two questions for readiness.
	var sent sync.WaitGroup
	for i := range clients {
		sent.Go(func() { g.request("client", fmt.Sprintf("c%d%d%08x", number, i, rand.Uint32()), deadline) })
	}
	time.Sleep(100 * time.Millisecond)
	for i := range uploads {
		sent.Go(func() {
			c := stand.Client{Address: from.Outbound}
			defer c.Close()
			attempt := fmt.Sprintf("f%d%d%08x", number, i, rand.Uint32())
			g.fleet.Record.Add("a client of %s sends upload %s", from.Name, attempt)
			r := c.Do(http.MethodPost, host, "/family/"+attempt, attempt, deadline, []byte("family"))
			g.fleet.Record.Add("it gets %d %v for %s", r.Status, r.Err, attempt)
		})
	}
	if trouble {
		for _, m := range []*stand.Machine{g.caller, g.called} {
			if !m.Wait(g.fleet.Grace) {
				g.fleet.Record.Add("SIGKILL to %s", m.Name)
			}
			m.Kill()
			g.fleet.Record.Add("%s has stopped", m.Name)
			if err := m.Start(); err != nil {
				return err
			}
		}
		for _, m := range []*stand.Machine{g.caller, g.called} {
			if err := m.AwaitReady(15 * time.Second); err != nil {
				return err
			}
		}
	}
	sent.Wait()
	return nil
}

// behave is what a back end does with a request. One of an upload makes two calls through the node on
// its own machine.
func (g *game) behave(a *stand.Arrival) stand.Answer {
	g.fleet.Record.Add("%s runs %s %s", a.Server.Machine.Name, a.Method, a.Attempt)
	status := http.StatusOK
	if a.Method == http.MethodPost {
		status = g.upload(a)
	} else {
		a.Server.Work(work + time.Duration(rand.IntN(200))*time.Millisecond)
		if g.fails.Load() && rand.Float64() < failing {
			status = http.StatusInternalServerError
		}
	}
	g.fleet.Record.Add("%s answers %d to %s", a.Server.Machine.Name, status, a.Attempt)
	return stand.Answer{Status: status, Header: map[string]string{"Response-Stamp": a.Server.Stamp(a.Attempt)}, Body: "body of " + a.Attempt}
}

func (g *game) upload(a *stand.Arrival) int {
	var calls sync.WaitGroup
	var failed atomic.Bool
	for i := range 2 {
		calls.Go(func() {
			if !g.request("back end", fmt.Sprintf("%s.%d", a.Attempt, i), deadline-time.Second) {
				failed.Store(true)
			}
		})
	}
	a.Server.Work(300 * time.Millisecond)
	calls.Wait()
	if failed.Load() {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// request sends a preview to the node on the caller's machine, for a client or its back end, and checks
// that it is answered.
func (g *game) request(by, attempt string, deadline time.Duration) bool {
	c := stand.Client{Address: g.caller.Outbound}
	defer c.Close()
	sent := time.Now()
	g.fleet.Record.Add("the %s of %s sends %s", by, g.caller.Name, attempt)
	r := c.Do(http.MethodGet, host, "/settle/"+attempt, attempt, deadline, nil)
	took := time.Since(sent)
	g.fleet.Record.Add("the %s gets %d %v for %s after %v", by, r.Status, r.Err, attempt, took.Round(time.Millisecond))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
	if r.Err == nil {
		g.answered++
		return r.Status == http.StatusOK
	}
	ended := errors.Is(r.Err, io.EOF) || errors.Is(r.Err, io.ErrUnexpectedEOF) || errors.Is(r.Err, syscall.ECONNRESET)
	around := sent.Add(took).Before(g.term.Add(g.fleet.Grace + time.Second))
	if ended && around && took > lost && took < timeout {
		g.broken = append(g.broken, fmt.Sprintf("LOST (back ends fail: %v): %s of a %s was sent %v after the SIGTERM, and its connection ended without an answer %v later",
			g.fails.Load(), attempt, by, sent.Sub(g.term).Round(time.Millisecond), took.Round(time.Millisecond)))
	}
	return false
}

func (g *game) verdict() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.broken {
		g.fleet.Record.Add("BROKEN %s", b)
		fmt.Println(b)
	}
	g.fleet.Record.Add("%d requests, %d answered, %d lost", g.requests, g.answered, len(g.broken))
	fmt.Printf("%d requests, %d answered, %d lost\n", g.requests, g.answered, len(g.broken))
	if g.requests < cycles*clients {
		return 2
	}
	if len(g.broken) > 0 {
		return 1
	}
	return 0
}
