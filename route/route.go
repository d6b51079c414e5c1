// Package route holds the routing table that a configuration describes: a host
// and the longest prefix of a path choose a route, and the route's shares choose
// a service. It also holds the client accounts, which callers name by a key. A table
// never changes; a node swaps the whole.
//
// # Usage
//
//	table, err := route.New(document)
//	r, ok := table.Match("office.example", "/births/118")
//	account, ok := table.AccountOf(key)
//	service := r.Pick()
package route

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests go and how long and how often they are tried.
type Route struct {
	Name      string
	Host      string
	Prefix    string // Begins and ends with a slash.
	Retryable bool   // It may run more than once.
	Priority  int    // 0 goes first.
	Timeout   time.Duration
	Target    time.Duration // Within it, an answer is worth most.
	Attempts  int           // At how many upstreams one request may run.
	Open      bool          // Callers need no key.
	Shares    []Share
	Regions   []string       // In which it may run; none: in all.
	turn      *atomic.Uint64 // How often a service was picked.
	kind      uint32
}

// Kind is the route's name as a number: its requests take about the same time, which
// gates learn by it. Should two routes share a number, their times are mixed.
func (r *Route) Kind() uint32 { return r.kind }

// Service is what the configuration says of a service.
type Service struct {
	Name        string
	HealthPath  string
	Connections int
	ColdStart   time.Duration // How long an upstream is cold after a start.
	ColdRate    float64       // Requests a second that a cold upstream bears; 0 for any number.
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is a configuration before it was checked.
type Document struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	Accounts []Account // None: callers need no keys.
	Notes    []string  // What was not understood, and what is done about it.
}

// Table is a checked configuration.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string][]*Route // Longest prefix first.
	accounts accounts
	levels   int // How many priorities routes have: 0 and up to the largest one.
	notes    []string
}

// New checks a document. Its error names every fault with its field.
func New(d Document) (*Table, error) {
	t := &Table{version: d.Version, limits: d.Limits, services: map[string]Service{}, hosts: map[string][]*Route{}, notes: d.Notes}
	var faults []string
	t.accounts, faults = newAccounts(d.Accounts)
	for _, s := range d.Services {
		if s.ColdStart < 0 || s.ColdRate < 0 {
			faults = append(faults, "service "+s.Name+": cold start, cold rate: a value is under 0")
		}
		t.services[s.Name] = s
	}
	if d.Limits.HeaderBytes < 0 || d.Limits.BodyBytes < 0 || d.Limits.HeaderTimeout < 0 || d.Limits.IdleTimeout < 0 {
		faults = append(faults, "limits: a value is under 0")
	}
	for _, r := range d.Routes {
		if fault := t.fault(r); fault != "" {
			faults = append(faults, "route "+r.Name+": "+fault)
			continue
		}
		r.kind = kindOf(r.Name)
		r.turn = &atomic.Uint64{}
		r.turn.Store(rand.Uint64N(mostFirstTurn))
		r.Attempts = max(r.Attempts, 1)
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &r)
		t.levels = max(t.levels, r.Priority+1)
	}
	if len(faults) > 0 {
		return nil, errors.Errorf("configuration %d: %s", d.Version, strings.Join(faults, "; "))
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func kindOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // A hash takes everything.
	return h.Sum32()
}

// fault returns what is wrong with a route, "" if nothing is.
func (t *Table) fault(r Route) string {
	switch {
	case r.Host == "":
		return "has no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "the prefix " + r.Prefix + " does not begin and end with a slash"
	case r.Timeout < 0 || r.Target < 0 || r.Attempts < 0 || r.Priority < 0:
		return "a value is under 0"
	case slices.Contains(r.Regions, ""):
		return "a region has no name"
	case len(r.Shares) == 0:
		return "names no service"
	}
	sum := 0.0
	for _, s := range r.Shares {
		if _, ok := t.services[s.Service]; !ok {
			return "unknown service " + s.Service
		}
		if s.Weight < 0 {
			return "a weight is under 0"
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return "no service has a weight"
	}
	return ""
}

// Version returns the configuration's version; it only grows.
func (t *Table) Version() uint64 { return t.version }

// Notes returns what was not understood of the configuration.
func (t *Table) Notes() []string { return t.notes }

// Limits returns what a caller may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what is known of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Priority returns the priority of a request: its account's goes before its route's.
func (t *Table) Priority(r *Route, a *Account) int {
	if a == nil {
		return r.Priority
	}
	return a.Priority*t.levels + r.Priority
}

// CallPriority returns the priority of a call, given that of the request that it is made
// for: of the same account, by its own route. Without the account it would go before all
// requests of less urgent accounts.
func (t *Table) CallPriority(r *Route, parent int) int {
	return parent - parent%t.levels + r.Priority
}

// Match returns the route of a host, with or without a port, and a path.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.hosts[strings.ToLower(name)]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// golden spreads successive turns evenly over [0, 1): the fractional parts of
// multiples of the golden ratio are a low-discrepancy sequence.
const golden = 0.6180339887498949

// mostFirstTurn bounds where a node begins in the sequence. All nodes put a
// configuration in force together and see a few requests of a route each: from a
// common beginning, their first picks would all be the same. Under it, a turn has
// its fraction exact to six digits.
const mostFirstTurn = 1 << 20

// Pick returns the next service by weight. Shares keep to their weights over any
// few dozen requests, not only on average.
func (r *Route) Pick() string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := float64(r.turn.Add(1)) * golden
	at = (at - float64(uint64(at))) * sum
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
