// Command 1 plays case 1: back ends that shed part of their requests send, in addition, a late copy
// of some of their answers.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	// The doses are those of the site file, at most doubled: srv_grey with "shed all" has x = 0.55 and
	// for_s = 8.5, and garble with "extra late" has share = 0.6, x = 0.03 and for_s = 5.
	shedShare  = 0.4
	extraShare = 0.06
	spell      = 10 * time.Second // How long each spell lasts.
	pause      = 2 * time.Second  // Between two spells.
	spells     = 7
	slots      = 6
	host       = "registro.example"
)

const configuration = `{"version":"r2","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"authority":"registro.example","rules":[
{"name":"inscripcion","routeKind":"non_idempotent","targetLatencyMs":400,"priority":0,"match":{"pathPrefix":"/inscripcion/"},"action":{"service":"inscripciones","timeoutMs":2500,"maxAttempts":3}},
{"name":"pedido-copia","routeKind":"non_idempotent","targetLatencyMs":800,"priority":1,"match":{"pathPrefix":"/copia/"},"action":{"service":"certificados","timeoutMs":5000,"maxAttempts":3}},
{"name":"solicitud","routeKind":"non_idempotent","targetLatencyMs":800,"priority":1,"match":{"pathPrefix":"/solicitud/"},"action":{"service":"solicitudes","timeoutMs":5000,"maxAttempts":3}},
{"name":"expediente","routeKind":"idempotent","targetLatencyMs":250,"priority":2,"match":{"pathPrefix":"/expediente/"},"action":{"service":"inscripciones","timeoutMs":1500,"maxAttempts":3}}]}],
"clusters":[{"name":"inscripciones","healthPath":"/health","maxConnections":330},{"name":"certificados","healthPath":"/health","maxConnections":330},{"name":"solicitudes","healthPath":"/health","maxConnections":330}]}`

// orders are the paths of requests that may run once.
var orders = []string{"/inscripcion/", "/copia/", "/solicitud/"}

type game struct {
	fleet   *stand.Fleet
	trouble bool
	bad     atomic.Bool // A spell is on.
	mu      sync.Mutex
	runs    map[string]int
	twice   int
	refused map[string]bool
	broken  []string
}

func main() { os.Exit(play()) }

func play() int {
	f, err := stand.NewFleet(os.Args[1], "cordon", "cerro")
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer f.Close()
	g := &game{fleet: f, trouble: os.Getenv("TROUBLE") != "0", runs: map[string]int{}, refused: map[string]bool{}}
	f.Store.Put("op/config", []byte(configuration))
	var machines []*stand.Machine
	for i, s := range []string{"inscripciones", "certificados", "solicitudes"} {
		m, err := f.NewMachine(fmt.Sprintf("sidecar-%d", i+1), f.Zones[i%2], s, "")
		if err != nil {
			fmt.Println("could not run:", err)
			return 2
		}
		if _, err := stand.StartServer(m, fmt.Sprintf("i-%08x", rand.Uint32()), slots, g.behave); err != nil {
			fmt.Println("could not run:", err)
			return 2
		}
		if err := m.Start(); err != nil {
			fmt.Println("could not run:", err)
			return 2
		}
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.AwaitReady(15 * time.Second); err != nil {
			fmt.Println("could not run:", err)
			return 2
		}
	}
	time.Sleep(3 * time.Second)
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range machines {
		for j := range 5 {
			clients.Go(func() { g.client(m, i*10+j, end) })
		}
	}
	for i := range spells {
		time.Sleep(pause)
		if g.trouble {
			f.Record.Add("spell %d begins: back ends shed %v of their requests, and %v of all answers come twice", i+1, shedShare, extraShare)
			g.bad.Store(true)
		}
		time.Sleep(spell)
		if g.bad.Swap(false) {
			f.Record.Add("spell %d ends", i+1)
		}
	}
	time.Sleep(2 * time.Second)
	close(end)
	clients.Wait()
	time.Sleep(time.Second)
	return g.verdict(machines)
}

// behave is what a back end does with a request that names it.
func (g *game) behave(a *stand.Arrival) stand.Answer {
	bad := g.bad.Load()
	extra := bad && rand.Float64() < extraShare
	if bad && rand.Float64() < shedShare {
		g.fleet.Record.Add("%s conn %d: %s %s shed, not run; comes twice: %v", a.Server.ID, a.Number, a.Method, a.Attempt, extra)
		return stand.Answer{Status: http.StatusServiceUnavailable, Header: map[string]string{"Not-Executed": "1"}, Extra: extra}
	}
	g.mu.Lock()
	g.runs[a.Attempt]++
	n := g.runs[a.Attempt]
	if n > 1 && a.Method != http.MethodGet {
		g.twice++
		g.broken = append(g.broken, fmt.Sprintf("TWICE: %s %s ran %d times", a.Method, a.Attempt, n))
	}
	if g.refused[a.Attempt] {
		g.broken = append(g.broken, "REFUSED: "+a.Attempt+" ran after its refusal")
	}
	g.mu.Unlock()
	g.fleet.Record.Add("%s conn %d: %s %s runs, run %d", a.Server.ID, a.Number, a.Method, a.Attempt, n)
	a.Server.Work(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	return stand.Answer{Status: http.StatusOK, Header: map[string]string{"Response-Stamp": a.Server.Stamp(a.Attempt)}, Body: "acta " + a.Attempt, Extra: extra}
}

// client sends a request about every second, each once.
func (g *game) client(m *stand.Machine, number int, end chan struct{}) {
	c := stand.Client{Address: m.Outbound}
	defer c.Close()
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(150+rand.IntN(300)) * time.Millisecond):
		}
		attempt := fmt.Sprintf("%02d%06d%08x", number, i, rand.Uint32())
		method, path, deadline := http.MethodPut, orders[rand.IntN(len(orders))]+attempt, 2500*time.Millisecond
		if i%8 == 7 {
			method, path, deadline = http.MethodGet, "/expediente/"+attempt, 1500*time.Millisecond
		}
		g.fleet.Record.Add("client %d sends %s %s to %s", number, method, attempt, m.Name)
		r := c.Do(method, host, path, attempt, deadline, []byte("datos"))
		g.fleet.Record.Add("client %d gets %d %v for %s", number, r.Status, r.Err, attempt)
		if method == http.MethodGet {
			continue
		}
		switch r.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			g.mu.Lock()
			g.refused[attempt] = true
			if g.runs[attempt] > 0 {
				g.broken = append(g.broken, fmt.Sprintf("REFUSED: %s has run and gets %d", attempt, r.Status))
			}
			g.mu.Unlock()
		}
	}
}

func (g *game) verdict(machines []*stand.Machine) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range machines {
		if m.Ended() {
			g.broken = append(g.broken, m.Name+" ended by itself")
		}
	}
	for _, b := range g.broken {
		g.fleet.Record.Add("BROKEN %s", b)
		fmt.Println(b)
	}
	g.fleet.Record.Add("%d requests ran; %d rules broken", len(g.runs), len(g.broken))
	fmt.Printf("%d requests ran, %d violations\n", len(g.runs), len(g.broken))
	if len(g.runs) < 100 {
		return 2
	}
	if len(g.broken) > 0 {
		return 1
	}
	return 0
}
