package ingress

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eiderfold/link"
)

const (
	// suspicionTime is how long a gate is avoided that did not answer an offer in time.
	suspicionTime = 1 * time.Second
	// trialShare is how likely a retryable request goes to a gate on trial that
	// would take it. The gates themselves keep the pace of tries.
	trialShare = 0.5
	// trialReserve is the part of the repeat budget that tries leave alone: most of
	// them fail, and are sent again.
	trialReserve = 0.3
	// refusalMost is how long a gate's refusal is taken at its word.
	refusalMost = 250 * time.Millisecond
	// exploreShare of the choices look at one gate at random, so that what is
	// believed of a gate that got no work does not grow old.
	exploreShare = 0.03
	// farShare of the choices ignore the data centre, for the same reason.
	farShare = 0.005
	// slowFactor is how many times the median answer time makes a gate the last resort.
	slowFactor = 2.0
)

// Sink is a way to a gate.
type Sink interface{ Send(f *link.Frame) bool }

// way is a live connection to a gate's process.
type way struct {
	sink    Sink
	process uint64
}

// Target is a gate as this node sees it.
type Target struct {
	member   link.Member
	way      atomic.Pointer[way]
	status   atomic.Pointer[link.Status]
	suspects atomic.Int64 // UnixNano until which it is avoided.
	inFlight atomic.Int32
	trialAt  atomic.Int64 // UnixNano before which a try on trial is refused.
	busyAt   atomic.Int64 // UnixNano before which its queue is full,
	busyFor  atomic.Int32 // for this priority and less urgent ones.
}

// refuse takes note of why the gate refused an offer of a priority.
func (t *Target) refuse(m *link.Refused, priority int, now time.Time) {
	at := now.Add(min(m.After, refusalMost)).UnixNano()
	switch m.Reason {
	case link.ReasonTrial:
		t.trialAt.Store(at)
	case link.ReasonBusy:
		t.busyFor.Store(int32(priority))
		t.busyAt.Store(at)
	}
}

// full tells whether an offer of a priority would be refused.
func (t *Target) full(priority int, now time.Time) bool {
	return now.UnixNano() < t.busyAt.Load() && int32(priority) >= t.busyFor.Load()
}

// NewTarget returns a target that cannot be reached yet.
func NewTarget(m link.Member) *Target {
	t := &Target{member: m}
	t.status.Store(&link.Status{})
	return t
}

// Member returns who the target is.
func (t *Target) Member() link.Member { return t.member }

// Status returns the gate's last word about itself.
func (t *Target) Status() link.Status { return *t.status.Load() }

// SetStatus takes the gate's word about itself.
func (t *Target) SetStatus(s link.Status) { t.status.Store(&s) }

// Reachable tells whether there is a connection.
func (t *Target) Reachable() bool { return t.way.Load() != nil }

func (t *Target) send(f *link.Frame) bool {
	w := t.way.Load()
	return w != nil && w.sink.Send(f)
}

func (t *Target) suspect(now time.Time) { t.suspects.Store(now.Add(suspicionTime).UnixNano()) }

func (t *Target) suspected(now time.Time) bool { return now.UnixNano() < t.suspects.Load() }

// Targets are all gates that this node knows, by service.
type Targets struct {
	dataCentre string
	floorShare atomic.Pointer[float64]
	mu         sync.Mutex // Held by writers of services.
	services   atomic.Pointer[map[string][]*Target]
}

// NewTargets returns no targets, for a node in a data centre. The floor share is
// the part of a service's gates that must not be set aside on suspicion.
func NewTargets(dataCentre string, floorShare float64) *Targets {
	t := &Targets{dataCentre: dataCentre}
	t.SetFloorShare(floorShare)
	t.services.Store(&map[string][]*Target{})
	return t
}

// SetFloorShare changes the part that must not be set aside.
func (t *Targets) SetFloorShare(share float64) { t.floorShare.Store(&share) }

// Add makes a target eligible.
func (t *Targets) Add(n *Target) { t.edit(n, true) }

// Remove takes a target out.
func (t *Targets) Remove(n *Target) { t.edit(n, false) }

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

// Of returns a service's targets.
func (t *Targets) Of(service string) []*Target { return (*t.services.Load())[service] }

// want says what a request needs of a gate.
type want struct {
	service   string
	retryable bool
	trials    bool // There is budget for a try that fails.
	priority  int
	nearOnly  bool      // Gates of other data centres are of no use yet.
	tried     []*Target // Not to be asked again.
}

// choice is a gate, and whether it shall take the offer though it is on trial.
type choice struct {
	target *Target
	force  bool
}

// choose picks a gate; its target is nil if none can be asked.
func (t *Targets) choose(w want, now time.Time) choice {
	var open, trial, doubtful []*Target
	openAll, live := 0, 0
	for _, n := range t.Of(w.service) {
		mode := n.Status().Mode
		if mode == link.ModeClosed || !n.Reachable() {
			continue
		}
		live++
		if mode == link.ModeOpen {
			openAll++
		}
		if slices.Contains(w.tried, n) || n.full(w.priority, now) {
			continue
		}
		switch {
		case n.suspected(now):
			doubtful = append(doubtful, n)
		case mode == link.ModeOpen:
			open = append(open, n)
		case now.UnixNano() >= n.trialAt.Load():
			trial = append(trial, n)
		}
	}
	below := float64(openAll) < t.leastOpen(live)
	if len(trial) > 0 && w.retryable && w.trials && rand.Float64() < trialShare {
		if near := t.near(trial); len(near) > 0 {
			trial = near
		}
		return choice{target: trial[rand.IntN(len(trial))]}
	}
	if w.nearOnly {
		open, trial, doubtful = t.near(open), t.near(trial), nil
	}
	if len(open) > 0 {
		return choice{target: t.best(open)}
	}
	if len(trial) > 0 && (below || w.retryable && w.trials) {
		return choice{target: leastSuspect(trial), force: below}
	}
	if len(doubtful) > 0 {
		return choice{target: doubtful[rand.IntN(len(doubtful))], force: below}
	}
	return choice{}
}

// leastOpen is how many of a service's live gates must be open before suspicion
// counts for nothing. A gate on trial still takes one retryable request at a
// time, so half the floor is what may stand between it and ordinary work.
func (t *Targets) leastOpen(live int) float64 { return *t.floorShare.Load() * float64(live) / 2 }

func leastSuspect(list []*Target) *Target {
	return slices.MinFunc(list, func(a, b *Target) int {
		switch x, y := a.Status().Suspect, b.Status().Suspect; {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
}

// best takes the better of two open gates, in the own data centre first.
func (t *Targets) best(open []*Target) *Target {
	pool := withoutSlow(open)
	if rand.Float64() < exploreShare {
		pool = open
	}
	if rand.Float64() > farShare {
		if near := t.near(pool); len(near) > 0 {
			pool = near
		}
	}
	a, b := pool[rand.IntN(len(pool))], pool[rand.IntN(len(pool))]
	if b.cost() < a.cost() {
		return b
	}
	return a
}

func (t *Targets) near(list []*Target) []*Target {
	var out []*Target
	for _, n := range list {
		if n.member.DataCentre == t.dataCentre {
			out = append(out, n)
		}
	}
	return out
}

// withoutSlow leaves out gates whose answers take far longer than the median.
func withoutSlow(list []*Target) []*Target {
	times := make([]time.Duration, len(list))
	for i, n := range list {
		times[i] = n.Status().Usual
	}
	slices.Sort(times)
	bound := time.Duration(slowFactor * float64(times[len(times)/2]))
	if bound == 0 {
		return list
	}
	var out []*Target
	for _, n := range list {
		if n.Status().Usual <= bound {
			out = append(out, n)
		}
	}
	return out
}

// cost is the time a request would take at the gate, as far as this node can tell.
func (t *Target) cost() float64 {
	s := t.Status()
	busy := 1 + float64(t.inFlight.Load())/float64(max(s.Slots, 1))
	return busy * float64(max(s.Usual, time.Millisecond)) * (1 + s.Suspect)
}

// Busy tells whether an offer to the gate has no end yet.
func (t *Target) Busy() bool { return t.inFlight.Load() > 0 }
