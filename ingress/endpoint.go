package ingress

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eiderfold/link"
	"eiderfold/route"
	"eiderfold/switches"
)

// maxRefusalTime is how long a gate's refusal is respected at most.
const maxRefusalTime = 250 * time.Millisecond

// Sink sends messages to a gate.
type Sink interface {
	Send(f *link.Frame) bool
	// LastPong returns when the gate last replied to a ping.
	LastPong() time.Time
}

// gateLink is a live link to a gate's process.
type gateLink struct {
	sink     Sink
	process  uint64
	pingedAt atomic.Int64 // UnixNano of the ping sent when the gate became suspected, 0 for none.
}

// Endpoint is a gate that this node can send offers to, with its last reported status.
type Endpoint struct {
	member         link.Member
	link           atomic.Pointer[gateLink]
	status         atomic.Pointer[link.Status]
	suspectedUntil atomic.Int64 // UnixNano until which it is avoided.
	responseTime   responseTime
	inFlight       atomic.Int32
	noTrialUntil   atomic.Int64 // UnixNano until which the gate refuses trial requests.
	busyUntil      atomic.Int64 // UnixNano until which its queue is full,
	busyPriority   atomic.Int32 // for this priority and less urgent ones.
	namedLimit     namedLimitRefusal
	shareRefusal   atomic.Pointer[shareRefusal]
	roomMu         sync.Mutex
	reported       reportedRoom // Guarded by roomMu.
}

// noteRefusal records why the gate refused an offer of a priority.
func (e *Endpoint) noteRefusal(m *link.Refused, priority int, now time.Time) {
	at := now.Add(min(m.RetryAfter, maxRefusalTime)).UnixNano()
	switch m.Reason {
	case link.ReasonTrial:
		e.noTrialUntil.Store(at)
	case link.ReasonBusy:
		e.busyPriority.Store(int32(priority))
		e.busyUntil.Store(at)
	case link.ReasonLimited:
		e.namedLimit.note(m.RetryAfter, priority, now)
	}
}

// full reports whether an offer of a priority would be refused.
func (e *Endpoint) full(priority int, now time.Time) bool {
	return now.UnixNano() < e.busyUntil.Load() && int32(priority) >= e.busyPriority.Load()
}

// NewEndpoint returns an endpoint without a link.
func NewEndpoint(m link.Member) *Endpoint {
	e := &Endpoint{member: m}
	e.status.Store(&link.Status{})
	return e
}

// Member returns the fleet member that the gate belongs to.
func (e *Endpoint) Member() link.Member { return e.member }

// Status returns the gate's last reported status.
func (e *Endpoint) Status() link.Status { return *e.status.Load() }

// SetStatus records a status reported by the gate.
func (e *Endpoint) SetStatus(s link.Status, now time.Time) {
	before := e.status.Swap(&s)
	if before.Limited && (!s.Limited || s.Limit > before.Limit) {
		e.namedLimit.clear()
	}
	e.responseTime.note(s.MeanResponseTime, now)
}

// Reachable reports whether there is a link to the gate.
func (e *Endpoint) Reachable() bool { return e.link.Load() != nil }

func (e *Endpoint) send(f *link.Frame) bool {
	l := e.link.Load()
	return l != nil && l.sink.Send(f)
}

// Endpoints holds all known gates by service.
type Endpoints struct {
	dataCentre     string
	floorShare     atomic.Pointer[float64]
	mu             sync.Mutex // Held by writers of services.
	switches       switches.Set
	services       atomic.Pointer[map[string][]*Endpoint]
	joined         atomic.Bool              // The wait for other nodes at the start is over.
	evacuated      atomic.Pointer[[]string] // Data centres that receive no requests.
	regions        map[string]string        // Region by data centre, where known.
	exhaustedUntil sync.Map                 // UnixNano by service, until which its repeat budget counts as exhausted.
	statements     statements
	draw           func() float64 // Returns a uniform number in [0, 1); replaced in tests.
}

// noteBudgetExhausted records that a gate of a service had no budget for a repeat.
func (e *Endpoints) noteBudgetExhausted(service string, now time.Time) {
	e.exhaustedUntil.Store(service, now.Add(budgetBackoff).UnixNano())
}

// budgetExhausted reports whether a gate of a service recently had no budget for a repeat.
func (e *Endpoints) budgetExhausted(service string, now time.Time) bool {
	until, ok := e.exhaustedUntil.Load(service)
	return ok && now.UnixNano() < until.(int64)
}

// NewEndpoints returns an empty set of endpoints for a node in a data centre. floorShare is
// the share of a service's gates that must stay in use, even on trial; see minOpen.
func NewEndpoints(dataCentre string, floorShare float64) *Endpoints {
	e := &Endpoints{dataCentre: dataCentre, draw: rand.Float64}
	e.SetEvacuated(nil)
	e.SetFloorShare(floorShare)
	e.services.Store(&map[string][]*Endpoint{})
	return e
}

// SetSwitches sets which mechanisms are on. It must be called before the first selection.
func (e *Endpoints) SetSwitches(s switches.Set) { e.switches = s }

// SetRegions sets the region of each data centre. It must be called before the first
// selection.
func (e *Endpoints) SetRegions(ofDataCentres map[string]string) { e.regions = ofDataCentres }

// SetJoined records that the node's wait for other nodes at its start is over, whether it has
// met them or its time has passed. Until then, an eligible gate may merely be unknown
// still, so a request waits. From then on, it is refused at once if its service has known
// gates but none is eligible.
func (e *Endpoints) SetJoined() { e.joined.Store(true) }

// SetEvacuated sets the data centres that receive no requests.
func (e *Endpoints) SetEvacuated(dataCentres []string) { e.evacuated.Store(&dataCentres) }

// eligible reports whether a request may be sent to an endpoint's data centre.
func (e *Endpoints) eligible(n *Endpoint, regions route.Regions) bool {
	dataCentre := n.member.DataCentre
	if slices.Contains(*e.evacuated.Load(), dataCentre) {
		return false
	}
	return !regions.Restricted() || regions.Allow(e.regions[dataCentre])
}

// SetFloorShare sets the share of a service's gates that must stay in use, even on trial.
func (e *Endpoints) SetFloorShare(share float64) { e.floorShare.Store(&share) }

// Add adds an endpoint.
func (e *Endpoints) Add(n *Endpoint) { e.edit(n, true) }

// Remove removes an endpoint.
func (e *Endpoints) Remove(n *Endpoint) { e.edit(n, false) }

// edit replaces the map by a modified copy, so that readers need no lock.
func (e *Endpoints) edit(n *Endpoint, add bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := *e.services.Load()
	next := make(map[string][]*Endpoint, len(old)+1)
	for name, list := range old {
		next[name] = list
	}
	service := n.member.Service
	list := slices.DeleteFunc(slices.Clone(next[service]), func(o *Endpoint) bool { return o == n })
	if add {
		list = append(list, n)
	}
	next[service] = list
	e.services.Store(&next)
}

// Of returns a service's endpoints.
func (e *Endpoints) Of(service string) []*Endpoint { return (*e.services.Load())[service] }

// Busy reports whether an offer to the gate is outstanding.
func (e *Endpoint) Busy() bool { return e.inFlight.Load() > 0 }
