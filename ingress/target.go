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

// Target is a gate that this node can send offers to, with its last reported status.
type Target struct {
	member         link.Member
	link           atomic.Pointer[gateLink]
	status         atomic.Pointer[link.Status]
	suspectedUntil atomic.Int64 // UnixNano until which it is avoided.
	responseTime   responseTime
	inFlight       atomic.Int32
	noTrialUntil   atomic.Int64 // UnixNano until which the gate refuses trial requests.
	busyUntil      atomic.Int64 // UnixNano until which its queue is full,
	busyPriority   atomic.Int32 // for this priority and less urgent ones.
}

// noteRefusal records why the gate refused an offer of a priority.
func (t *Target) noteRefusal(m *link.Refused, priority int, now time.Time) {
	at := now.Add(min(m.RetryAfter, maxRefusalTime)).UnixNano()
	switch m.Reason {
	case link.ReasonTrial:
		t.noTrialUntil.Store(at)
	case link.ReasonBusy:
		t.busyPriority.Store(int32(priority))
		t.busyUntil.Store(at)
	}
}

// full reports whether an offer of a priority would be refused.
func (t *Target) full(priority int, now time.Time) bool {
	return now.UnixNano() < t.busyUntil.Load() && int32(priority) >= t.busyPriority.Load()
}

// NewTarget returns an endpoint without a link.
func NewTarget(m link.Member) *Target {
	t := &Target{member: m}
	t.status.Store(&link.Status{})
	return t
}

// Member returns the fleet member that the gate belongs to.
func (t *Target) Member() link.Member { return t.member }

// Status returns the gate's last reported status.
func (t *Target) Status() link.Status { return *t.status.Load() }

// SetStatus records a status reported by the gate.
func (t *Target) SetStatus(s link.Status, now time.Time) {
	t.status.Store(&s)
	t.responseTime.note(s.MeanResponseTime, now)
}

// Reachable reports whether there is a link to the gate.
func (t *Target) Reachable() bool { return t.link.Load() != nil }

func (t *Target) send(f *link.Frame) bool {
	l := t.link.Load()
	return l != nil && l.sink.Send(f)
}

// Targets holds all known gates by service.
type Targets struct {
	dataCentre     string
	floorShare     atomic.Pointer[float64]
	mu             sync.Mutex // Held by writers of services.
	switches       switches.Set
	services       atomic.Pointer[map[string][]*Target]
	joined         atomic.Bool              // The wait for other nodes at the start is over.
	evacuated      atomic.Pointer[[]string] // Data centres that receive no requests.
	regions        map[string]string        // Region by data centre, where known.
	exhaustedUntil sync.Map                 // UnixNano by service, until which its repeat budget counts as exhausted.
	draw           func() float64           // Returns a uniform number in [0, 1); replaced in tests.
}

// noteBudgetExhausted records that a gate of a service had no budget for a repeat.
func (t *Targets) noteBudgetExhausted(service string, now time.Time) {
	t.exhaustedUntil.Store(service, now.Add(budgetBackoff).UnixNano())
}

// budgetExhausted reports whether a gate of a service recently had no budget for a repeat.
func (t *Targets) budgetExhausted(service string, now time.Time) bool {
	until, ok := t.exhaustedUntil.Load(service)
	return ok && now.UnixNano() < until.(int64)
}

// NewTargets returns an empty set of endpoints for a node in a data centre. floorShare is
// the share of a service's gates that must stay in use despite suspicion.
func NewTargets(dataCentre string, floorShare float64) *Targets {
	t := &Targets{dataCentre: dataCentre, draw: rand.Float64}
	t.SetEvacuated(nil)
	t.SetFloorShare(floorShare)
	t.services.Store(&map[string][]*Target{})
	return t
}

// SetSwitches sets which mechanisms are on. It must be called before the first selection.
func (t *Targets) SetSwitches(s switches.Set) { t.switches = s }

// SetRegions sets the region of each data centre. It must be called before the first
// selection.
func (t *Targets) SetRegions(ofDataCentres map[string]string) { t.regions = ofDataCentres }

// SetMet records that the node's wait for other nodes at its start is over, whether it has
// met them or its time has passed. Until then, an eligible gate may merely be unknown
// still, so a request waits. From then on, it is refused at once if its service has known
// gates but none is eligible.
func (t *Targets) SetMet() { t.joined.Store(true) }

// SetEvacuated sets the data centres that receive no requests.
func (t *Targets) SetEvacuated(dataCentres []string) { t.evacuated.Store(&dataCentres) }

// eligible reports whether a request may be sent to an endpoint's data centre.
func (t *Targets) eligible(n *Target, regions route.Regions) bool {
	dataCentre := n.member.DataCentre
	if slices.Contains(*t.evacuated.Load(), dataCentre) {
		return false
	}
	return !regions.Bound() || regions.Allow(t.regions[dataCentre])
}

// SetFloorShare sets the share of a service's gates that must stay in use despite
// suspicion.
func (t *Targets) SetFloorShare(share float64) { t.floorShare.Store(&share) }

// Add adds an endpoint.
func (t *Targets) Add(n *Target) { t.edit(n, true) }

// Remove removes an endpoint.
func (t *Targets) Remove(n *Target) { t.edit(n, false) }

// edit replaces the map by a modified copy, so that readers need no lock.
func (t *Targets) edit(n *Target, add bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.services.Load()
	next := make(map[string][]*Target, len(old)+1)
	for name, list := range old {
		next[name] = list
	}
	service := n.member.Service
	list := slices.DeleteFunc(slices.Clone(next[service]), func(o *Target) bool { return o == n })
	if add {
		list = append(list, n)
	}
	next[service] = list
	t.services.Store(&next)
}

// Of returns a service's endpoints.
func (t *Targets) Of(service string) []*Target { return (*t.services.Load())[service] }

// Busy reports whether an offer to the gate is outstanding.
func (t *Target) Busy() bool { return t.inFlight.Load() > 0 }
