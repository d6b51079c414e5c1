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

// load generates random requests. Each carries a mark in its URL and header that identifies
// its response; the URL of a keyed one also holds its key.
type load struct {
	fleet     *fleet.Fleet
	scenario  *scenario
	random    *rand.Rand
	accounts  []string
	number    int
	duplicate *vegeta.Target // Copy of the last keyed operation, to send next; nil if none.
	seed      int
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
	if l.duplicate != nil {
		*t = *l.duplicate
		l.duplicate = nil
		return nil
	}
	l.number++
	d := l.fleet.Deployment
	service := d.Services[l.randomService()]
	account := l.accounts[l.random.IntN(len(l.accounts))]
	mark := fmt.Sprintf("%d-%d", l.seed, l.number)
	t.Header = http.Header{"X-Mark": {mark}}
	t.Method, t.Body = http.MethodGet, nil
	path := service.Lookup
	query := "m=" + mark
	if l.random.Float64() < l.scenario.KeyedShare {
		t.Method, t.Body = http.MethodPost, []byte("entry "+mark)
		path = service.Order
		key := newKey()
		t.Header.Set("Idempotency-Key", key)
		query += "&k=" + key
	}
	t.URL = l.targetURL(account, path, query)
	if t.Method == http.MethodPost && l.random.Float64() < l.scenario.DuplicateShare {
		duplicate := *t
		duplicate.URL = l.targetURL(account, path, query)
		l.duplicate = &duplicate
	}
	return nil
}

// newKey returns an idempotency key of the recommended form: a UUIDv7, which begins with
// its time.
func newKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err) // The system has no source of randomness.
	}
	return id.String()
}

// targetURL returns the URL of a request to a random running node.
func (l *load) targetURL(account, path, query string) string {
	nodes := l.fleet.Nodes
	n := nodes[l.random.IntN(len(nodes))]
	for range len(nodes) { // Bounded, since no node may run when a trial is cancelled.
		if n.Running() {
			break
		}
		n = nodes[l.random.IntN(len(nodes))]
	}
	return "http://" + n.CallerAddress() + "/" + account + "/" + path + "?" + query
}

// randomService returns the index of a random service, weighted by its upstreams.
func (l *load) randomService() int {
	x := l.random.IntN(len(l.fleet.Upstreams))
	for i, s := range l.fleet.Deployment.Services {
		if x -= s.Upstreams; x < 0 {
			return i
		}
	}
	return 0
}

// attack sends the load and calls handle for each result.
func (l *load) attack(length time.Duration, handle func(*vegeta.Result)) {
	rate := vegeta.Rate{Freq: int(l.scenario.Rate * float64(len(l.fleet.Upstreams)) * 10), Per: 10 * time.Second}
	a := vegeta.NewAttacker(vegeta.Timeout(loadTimeout), vegeta.Workers(loadWorkers), vegeta.KeepAlive(true), vegeta.Connections(loadWorkers))
	for r := range a.Attack(l.next, rate, length, "trial") {
		handle(r)
	}
}

// classification is the interpretation of a result.
type classification struct {
	ok      bool // Successful, complete and for this request.
	wrong   bool // Successful by its status, but truncated or for another request.
	notRun  bool
	unknown bool
	key     string
}

func classify(r *vegeta.Result) classification {
	v := classification{}
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

// intact checks a response's mark and checksum.
func intact(body, mark string) bool {
	i := strings.LastIndexByte(body, ' ')
	if i < 0 || !strings.HasPrefix(body, mark+" ") {
		return false
	}
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body[:i]))) == body[i+1:]
}
