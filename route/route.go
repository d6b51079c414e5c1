// Package route provides the routing table of a configuration. The host and the longest
// matching path prefix select a route, and the route's shares select a service. The table
// also holds the client accounts, which callers identify by a key. A table is immutable; a
// node replaces it as a whole.
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

// Route defines where requests go, how urgent they are, and how long and how often they
// are tried.
type Route struct {
	Name      string
	Host      string
	Prefix    string // Begins and ends with a slash.
	Retryable bool   // Its requests may run more than once.
	Priority  int    // 0 is the most urgent.
	Timeout   time.Duration
	Target    time.Duration // Response time past which an answer counts as late.
	Attempts  int           // Maximum number of runs of one request.
	Open      bool          // Callers need no key.
	Shares    []Share
	Regions   []string       // Regions in which its requests may run; all if empty.
	turn      *atomic.Uint64 // Number of picks, from a random start.
	kind      uint32
}

// Kind returns a hash of the route's name. Gates learn response times by it, as the
// requests of a route take about the same time. If two routes share a hash, their times
// are mixed.
func (r *Route) Kind() uint32 { return r.kind }

// Service is the configuration of a service.
type Service struct {
	Name        string
	HealthPath  string
	Connections int
	ColdStart   time.Duration // How long an upstream is cold after a start.
	ColdRate    float64       // Requests per second that a cold upstream sustains; 0 for no limit.
}

// Limits bounds the size and the time of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is a configuration before validation.
type Document struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	Accounts []Account // If empty, callers need no keys.
	Notes    []string  // Parts that were not understood, and how they are handled.
}

// Table is a validated configuration.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string][]*Route // Longest prefix first.
	accounts accounts
	levels   int // Number of route priorities: the largest one plus 1.
	notes    []string
}

// New validates a document and builds its table. The error lists the faults of accounts,
// services, limits and routes; of each route it lists only the first.
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
		r.turn.Store(rand.Uint64N(maxFirstTurn))
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
	_, _ = h.Write([]byte(name)) // Write to a hash never fails.
	return h.Sum32()
}

// fault returns the first fault of a route, "" if there is none.
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

// Version returns the configuration's version, which only increases.
func (t *Table) Version() uint64 { return t.version }

// Notes returns the parts of the configuration that were not understood.
func (t *Table) Notes() []string { return t.notes }

// Limits returns the limits of callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the configuration of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Priority returns the priority of a request: by the account's priority first, and by the
// route's among requests of the same account priority. A request without an account (on an
// open route, a nested one, or without any accounts) ranks as one of account priority 0.
func (t *Table) Priority(r *Route, a *Account) int {
	if a == nil {
		return r.Priority
	}
	return a.Priority*t.levels + r.Priority
}

// NestedPriority returns the priority of a nested request, given its parent's priority: the
// account's part of it is kept, and the route's part is that of r. Without the account's
// part, it would precede all requests of less urgent accounts.
func (t *Table) NestedPriority(r *Route, parent int) int {
	return parent - parent%t.levels + r.Priority
}

// Match returns the route for a host, with or without a port, and a path.
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

// maxFirstTurn bounds the random start of a route's sequence. All nodes apply a
// configuration at the same time and see few requests of a route each: from a common
// start, their first picks would all be the same. Below the bound, the fraction of a turn
// is exact to six digits.
const maxFirstTurn = 1 << 20

// Pick returns the next service by weight. The picks match the weights over every few
// dozen requests, not only on average.
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
