// Command 3 plays case 3: back ends turn slow while clients send further requests before the first one
// has been answered.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	host  = "registro.example"
	slots = 4
	// The route's figures are those of consulta-acta on the first sheet (aim 800 ms, deadline 4,000 ms,
	// work 190 ms), with a shorter timeout, as a change of the configuration brings it.
	timeout  = 1500 * time.Millisecond
	deadline = 4 * time.Second
	work     = 190 * time.Millisecond
	// slow is how many times as long the back ends work. The site files have up to 12.
	slow = 5
	// late is how long after the timeout the rule looks again.
	late = 500 * time.Millisecond
	// pace is the time between two requests of a client. Without the disruption, each is answered before
	// the next one is sent.
	pace    = 450 * time.Millisecond
	clients = 6
	before  = 5 * time.Second
	spell   = 12 * time.Second // The site files have up to 9.
	spells  = 4
)

const configuration = `{"version":"r2","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"authority":"registro.example","rules":[
{"name":"consulta-acta","routeKind":"idempotent","targetLatencyMs":800,"priority":0,"match":{"pathPrefix":"/acta/"},"action":{"service":"certificados","timeoutMs":1500,"maxAttempts":2}}]}],
"clusters":[{"name":"certificados","healthPath":"/health","maxConnections":330},{"name":"inscripciones","healthPath":"/health","maxConnections":330}]}`

type game struct {
	fleet     *stand.Fleet
	slow      atomic.Bool
	mu        sync.Mutex
	ran       map[string]time.Time // When a back end had answered it.
	sent      int
	atTimeout int // Unanswered at the route's timeout.
	atLate    int // Of these, unanswered half a second later.
	ready     int // Of these, answered by a back end before the timeout.
	never     int // Requests that were never answered although a back end had answered them.
}

func main() { os.Exit(play()) }

func fail(err error) int {
	fmt.Println("could not run:", err)
	return 2
}

func play() int {
	f, err := stand.NewFleet(os.Args[1], "cordon", "cerro")
	if err != nil {
		return fail(err)
	}
	defer f.Close()
	g := &game{fleet: f, ran: map[string]time.Time{}}
	f.Store.Put("op/config", []byte(configuration))
	var machines []*stand.Machine
	for i, s := range []string{"certificados", "certificados", "certificados", "certificados", "inscripciones", "inscripciones"} {
		m, err := f.NewMachine(fmt.Sprintf("sidecar-%d", i+1), f.Zones[i%2], s, "")
		if err != nil {
			return fail(err)
		}
		if _, err := stand.StartServer(m, fmt.Sprintf("i-%08x", rand.Uint32()), slots, g.behave); err != nil {
			return fail(err)
		}
		if err := m.Start(); err != nil {
			return fail(err)
		}
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.AwaitReady(15 * time.Second); err != nil {
			return fail(err)
		}
	}
	time.Sleep(3 * time.Second)
	end := make(chan struct{})
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { g.client(machines[i%len(machines)], i, end) })
	}
	for i := range spells {
		time.Sleep(before)
		if os.Getenv("TROUBLE") != "0" {
			f.Record.Add("spell %d begins: back ends work %d times as long", i+1, slow)
			g.slow.Store(true)
		}
		time.Sleep(spell)
		g.slow.Store(false)
		f.Record.Add("spell %d ends", i+1)
	}
	time.Sleep(before)
	close(end)
	all.Wait()
	return g.verdict()
}

func (g *game) behave(a *stand.Arrival) stand.Answer {
	took := time.Duration((0.8 + 0.4*rand.Float64()) * float64(work))
	if g.slow.Load() {
		took *= slow
	}
	a.Server.Work(took)
	g.mu.Lock()
	if g.ran[a.Attempt].IsZero() {
		g.ran[a.Attempt] = time.Now()
	}
	g.mu.Unlock()
	g.fleet.Record.Add("%s answers %s", a.Server.Machine.Name, a.Attempt)
	return stand.Answer{Status: http.StatusOK, Header: map[string]string{"Response-Stamp": a.Server.Stamp(a.Attempt)}, Body: fmt.Sprintf("%-400s", "acta "+a.Attempt)}
}

// request is one that waits for its answer on a connection.
type request struct {
	attempt  string
	sent     time.Time
	answered time.Time
}

// client sends a request every pace on one connection, without waiting for the answers. It gives the
// connection up when a request is not answered by its deadline.
func (g *game) client(m *stand.Machine, number int, end chan struct{}) {
	for i := 0; ; {
		c, err := net.DialTimeout("tcp4", m.Outbound, time.Second)
		if err != nil {
			g.fleet.Record.Add("client %d: %v", number, err)
			time.Sleep(pace)
			continue
		}
		if !g.connection(c, m, number, &i, end) {
			return
		}
	}
}

// connection uses a connection until a request on it has not been answered by its deadline.
func (g *game) connection(c net.Conn, m *stand.Machine, number int, i *int, end chan struct{}) bool {
	var mu sync.Mutex
	var all []*request
	next := 0
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			q := all[next]
			next++
			q.answered = time.Now()
			mu.Unlock()
			g.fleet.Record.Add("client %d gets %d for %s after %v", number, r.StatusCode, q.attempt, time.Since(q.sent).Round(time.Millisecond))
		}
	}()
	overdue := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return next < len(all) && time.Since(all[next].sent) > deadline
	}
	more := true
	for more && !overdue() {
		attempt := fmt.Sprintf("%02d%05d%08x", number, *i, rand.Uint32())
		*i++
		q := &request{attempt: attempt, sent: time.Now()}
		mu.Lock()
		all = append(all, q)
		mu.Unlock()
		g.fleet.Record.Add("client %d sends %s to %s", number, attempt, m.Name)
		if _, err := fmt.Fprintf(c, "GET /acta/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", attempt, host, attempt, deadline.Milliseconds()); err != nil {
			break
		}
		select {
		case <-end:
			more = false
			time.Sleep(deadline)
		case <-closed:
			more = false
		case <-time.After(time.Duration((0.9 + 0.2*rand.Float64()) * float64(pace))):
		}
	}
	_ = c.Close()
	<-closed
	g.count(all, time.Now(), number)
	select {
	case <-end:
		return false
	default:
		return true
	}
}

// count judges the requests of a connection that ended at a time. Those that were sent too late before
// the end to be judged are left out.
func (g *game) count(all []*request, ended time.Time, number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range all {
		g.sent++
		at := q.answered
		if at.IsZero() && ended.Sub(q.sent) < timeout+late {
			continue
		}
		ran := g.ran[q.attempt]
		if !at.IsZero() && at.Sub(q.sent) <= timeout {
			continue
		}
		g.atTimeout++
		if !at.IsZero() && at.Sub(q.sent) <= timeout+late {
			continue
		}
		g.atLate++
		if !ran.IsZero() && ran.Sub(q.sent) <= timeout {
			g.ready++
		}
		if at.IsZero() && !ran.IsZero() {
			g.never++
			g.fleet.Record.Add("client %d gave %s up after %v; a back end had answered it after %v", number, q.attempt, ended.Sub(q.sent).Round(time.Millisecond), ran.Sub(q.sent).Round(time.Millisecond))
		}
	}
}

func (g *game) verdict() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := fmt.Sprintf("%d requests; %d unanswered at the timeout, %d of them half a second later; back ends had answered %d of these before the timeout, and %d were never answered", g.sent, g.atTimeout, g.atLate, g.ready, g.never)
	g.fleet.Record.Add("%s", text)
	fmt.Println(text)
	if g.sent < 100 {
		return 2
	}
	if g.atTimeout >= 8 && 2*g.atLate > g.atTimeout {
		fmt.Println("CONFIG: more than half of the requests that remain unanswered at the timeout still lack an answer half a second later")
		return 1
	}
	return 0
}
