package main

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	vegeta "github.com/tsenart/vegeta/v12/lib"

	"eiderfold/bench/fleet"
)

const (
	loadTimeout = 8 * time.Second
	loadWorkers = 64
)

// load draws requests. Every one carries a mark in its URL and header, by which
// its answer is known to be its own, and a keyed one its key.
type load struct {
	fleet    *fleet.Fleet
	scenario *scenario
	random   *rand.Rand
	accounts []string
	number   int
	again    *vegeta.Target // The second sending of the last keyed operation.
	seed     int
}

func newLoad(f *fleet.Fleet, s *scenario, seed int) *load {
	l := &load{fleet: f, scenario: s, random: rand.New(rand.NewPCG(uint64(seed), 2)), seed: seed}
	for name := range f.Deployment.Accounts {
		l.accounts = append(l.accounts, name)
	}
	slices.Sort(l.accounts)
	return l
}

// next implements vegeta.Targeter.
func (l *load) next(t *vegeta.Target) error {
	if l.again != nil {
		*t = *l.again
		l.again = nil
		return nil
	}
	l.number++
	d := l.fleet.Deployment
	service := d.Services[l.service()]
	account := l.accounts[l.random.IntN(len(l.accounts))]
	mark := fmt.Sprintf("%d-%d", l.seed, l.number)
	t.Header = http.Header{"X-Mark": {mark}}
	t.Method, t.Body = http.MethodGet, nil
	path := service.Lookup
	query := "m=" + mark
	if l.random.Float64() < l.scenario.Keyed {
		t.Method, t.Body = http.MethodPost, []byte("entry "+mark)
		path = service.Order
		key := newKey()
		t.Header.Set("Idempotency-Key", key)
		query += "&k=" + key
	}
	t.URL = l.at(account, path, query)
	if t.Method == http.MethodPost && l.random.Float64() < l.scenario.Twice {
		again := *t
		again.URL = l.at(account, path, query)
		l.again = &again
	}
	return nil
}

// newKey makes a key as callers are advised to: it begins with its time.
func newKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err) // The system has no randomness; nothing could go on.
	}
	return id.String()
}

// at puts a request to some node that runs.
func (l *load) at(account, path, query string) string {
	nodes := l.fleet.Nodes
	n := nodes[l.random.IntN(len(nodes))]
	for range len(nodes) { // None may run any more when a trial is ended early.
		if n.Running() {
			break
		}
		n = nodes[l.random.IntN(len(nodes))]
	}
	return "http://" + n.Callers() + "/" + account + "/" + path + "?" + query
}

// service draws a service in proportion to its upstreams.
func (l *load) service() int {
	x := l.random.IntN(len(l.fleet.Upstreams))
	for i, s := range l.fleet.Deployment.Services {
		if x -= s.Upstreams; x < 0 {
			return i
		}
	}
	return 0
}

// attack sends the load and gives every result to take.
func (l *load) attack(length time.Duration, take func(*vegeta.Result)) {
	rate := vegeta.Rate{Freq: int(l.scenario.Rate * float64(len(l.fleet.Upstreams)) * 10), Per: 10 * time.Second}
	a := vegeta.NewAttacker(vegeta.Timeout(loadTimeout), vegeta.Workers(loadWorkers), vegeta.KeepAlive(true), vegeta.Connections(loadWorkers))
	for r := range a.Attack(l.next, rate, length, "trial") {
		take(r)
	}
}

// verdict is what a result says.
type verdict struct {
	ok      bool // A good answer, whole and its own.
	wrong   bool // Taken for a good answer, and not whole or not its own.
	notRun  bool
	unknown bool
	key     string
}

func judge(r *vegeta.Result) verdict {
	v := verdict{}
	if u, err := url.Parse(r.URL); err == nil {
		v.key = u.Query().Get("k")
		mark := u.Query().Get("m")
		if r.Code == http.StatusOK && r.Error == "" {
			v.ok = intact(string(r.Body), mark)
			v.wrong = !v.ok
			return v
		}
	}
	switch r.Headers.Get("Eiderfold-Meaning") {
	case "not-run":
		v.notRun = true
	case "unknown", "":
		v.unknown = true
	}
	return v
}

// intact checks an answer's mark and checksum.
func intact(body, mark string) bool {
	i := strings.LastIndexByte(body, ' ')
	if i < 0 || !strings.HasPrefix(body, mark+" ") {
		return false
	}
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body[:i]))) == body[i+1:]
}
