package ingress

import (
	"cmp"
	"slices"
	"time"

	"eiderfold/link"
	"eiderfold/route"
	"eiderfold/switches"
)

const (
	// trialShare is the probability that a retryable request goes to a gate on trial that
	// would accept it. The gates themselves limit the rate of trials.
	trialShare = 0.5
	// budgetBackoff is how long no more requests are sent to gates on trial after a gate
	// had no budget for a repeat: most trials fail and need a repeat.
	budgetBackoff = 500 * time.Millisecond
	// exploreShare is the share of selections that take a gate at random, so that the
	// status of an unused gate does not become stale.
	exploreShare = 0.03
	// farShare is the share of selections that ignore the data centre, for the same
	// reason.
	farShare = 0.005
	// slowFactor times the median response time makes a gate the last resort. Gates get
	// different mixes of short and long requests, so means that differ by a factor of two
	// are normal.
	slowFactor = 3.0
)

// criteria describes what a request requires of a gate.
type criteria struct {
	service     string
	retryable   bool
	allowTrials bool // The budget allows for a trial that fails.
	priority    int
	nearOnly    bool        // Exclude gates of other data centres.
	tried       []*Endpoint // Gates that were already asked.
	regions     route.Regions
	account     string // Whose share of the gates' slots it uses.
	nested      bool   // Gates do not delay it by the share of its account.
	// maxLocalWait is how long the request may wait in the own data centre; 0 for any time.
	maxLocalWait time.Duration
}

// selection is the selected gate, nil if there is none. With force, the gate must accept
// the offer even if it is on trial.
type selection struct {
	endpoint     *Endpoint
	force        bool
	byRoom       bool      // It has room, and the other one that was considered has none.
	spilled      bool      // The gate is in another data centre, as the request would wait too long in the own one.
	noneEligible bool      // The service has gates, but none is eligible for the request.
	room         time.Time // When the limits of all upstreams have room again; the zero time if other gates can be asked sooner.
}

// candidates are the gates that can be asked, grouped by state.
type candidates struct {
	open          []*Endpoint
	trial         []*Endpoint
	suspected     []*Endpoint  // Did not respond to a recent offer or ping; see suspect.
	unresponsive  []*Endpoint  // Did not reply to a ping in time.
	anyResponsive bool         // Some gate of the service is responsive.
	belowFloor    bool         // Too few of the service's gates are open.
	noneEligible  bool         // No gate of the service is eligible for the request.
	room          time.Time    // When a gate has room that the limit of its upstream keeps from being asked now.
	allLimited    bool         // That is so for all responsive gates.
	local         waitEstimate // In the own data centre; only estimated for criteria with a maxLocalWait.
}

// exclude reports whether a gate is not asked now: it was already, or has lately refused offers like
// this one.
func (c *criteria) exclude(n *Endpoint, now time.Time) bool {
	overShare := !c.nested && n.overShare(c.account, now)
	return slices.Contains(c.tried, n) || n.full(c.priority, now) || overShare
}

// candidates groups a service's gates by state.
func (e *Endpoints) candidates(crit criteria, now time.Time) candidates {
	var c candidates
	open, live, responsive, limited := 0, 0, 0, 0
	all := e.Of(crit.service)
	c.noneEligible = len(all) > 0 && e.joined.Load()
	for _, n := range all {
		if !e.eligible(n, crit.regions) {
			continue
		}
		c.noneEligible = false
		status := n.Status()
		mode := status.Mode
		if mode == link.ModeClosed || !n.Reachable() || e.statements.leaves(status) {
			continue
		}
		live++
		unresponsive := n.unresponsive(now)
		if !unresponsive {
			c.anyResponsive = true
			responsive++
		}
		if mode == link.ModeOpen && !unresponsive {
			open++
		}
		if room := n.namedLimit.roomAt(crit.priority, now); !unresponsive && !room.IsZero() {
			limited++
			if c.room.IsZero() || room.Before(c.room) {
				c.room = room
			}
			continue
		}
		if crit.maxLocalWait > 0 && mode == link.ModeOpen && e.isLocal(n) && !n.suspected(now) {
			c.local.add(n.room(now))
		}
		if crit.exclude(n, now) {
			continue
		}
		switch {
		case unresponsive:
			c.unresponsive = append(c.unresponsive, n)
		case n.suspected(now):
			c.suspected = append(c.suspected, n)
		case mode == link.ModeOpen:
			c.open = append(c.open, n)
		case now.UnixNano() >= n.noTrialUntil.Load():
			c.trial = append(c.trial, n)
		}
	}
	c.allLimited = limited > 0 && limited == responsive
	c.belowFloor = e.switches.On(switches.Forced) && float64(open) < e.minOpen(live)
	return c
}

// choose selects a gate; the endpoint is nil if none can be asked.
func (e *Endpoints) choose(crit criteria, now time.Time) selection {
	c := e.candidates(crit, now)
	mayTrial := crit.retryable && crit.allowTrials
	if len(c.trial) > 0 && mayTrial && e.draw() < trialShare {
		return selection{endpoint: e.oneOf(e.nearFirst(c.trial))}
	}
	if n := e.spill(c, crit, now); n != nil {
		return selection{endpoint: n, spilled: true}
	}
	if crit.nearOnly {
		c.open, c.trial, c.suspected = e.near(c.open), e.near(c.trial), nil
	}
	switch {
	case len(c.open) > 0:
		return e.best(c.open, now)
	case len(c.trial) > 0 && (c.belowFloor || mayTrial):
		return selection{endpoint: leastSuspect(c.trial), force: c.belowFloor}
	case len(c.suspected) > 0:
		return selection{endpoint: e.oneOf(c.suspected), force: c.belowFloor}
	case len(c.unresponsive) > 0 && !c.anyResponsive && !crit.nearOnly:
		// No other gate can serve the request, and this node may be the one that receives
		// nothing.
		return selection{endpoint: e.oneOf(c.unresponsive), force: c.belowFloor}
	case c.allLimited:
		return selection{room: c.room}
	default:
		return selection{noneEligible: c.noneEligible}
	}
}

// oneOf returns a random endpoint.
func (e *Endpoints) oneOf(list []*Endpoint) *Endpoint { return list[int(e.draw()*float64(len(list)))] }

// minOpen returns how many of a service's live gates must be open. If fewer are, a request
// with no open gate to ask is forced on the gate on trial with the least Suspicion. A gate
// on trial still gets a few retryable requests, so the bound is half the floor.
func (e *Endpoints) minOpen(live int) float64 { return *e.floorShare.Load() * float64(live) / 2 }

func leastSuspect(list []*Endpoint) *Endpoint {
	return slices.MinFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.Status().Suspicion, b.Status().Suspicion) })
}

// best returns the better of two random open gates, preferring the own data centre.
func (e *Endpoints) best(open []*Endpoint, now time.Time) selection {
	gates := timed(open, now)
	median := medianResponseTime(gates)
	pool := withoutSlow(gates, median)
	if !e.switches.On(switches.SlowLast) {
		pool = open
	}
	if e.draw() > farShare && e.switches.On(switches.PreferLocal) {
		pool = e.nearFirst(pool)
	}
	if e.draw() < exploreShare {
		return selection{endpoint: e.oneOf(e.nearFirst(open))}
	}
	n, byRoom := e.betterOf(e.oneOf(pool), e.oneOf(pool), median, now)
	return selection{endpoint: n, byRoom: byRoom}
}

// betterOf returns the better of two gates: the one with room if it is known that only one has, and
// otherwise the one with the lower cost. It reports whether the room has decided.
func (e *Endpoints) betterOf(a, b *Endpoint, median time.Duration, now time.Time) (better *Endpoint, byRoom bool) {
	if e.switches.On(switches.Room) {
		inA, _ := a.room(now)
		inB, _ := b.room(now)
		switch {
		case inA.Free > 0 && b.saturated(now):
			return a, true
		case inB.Free > 0 && a.saturated(now):
			return b, true
		}
	}
	if b.cost(median, now) < a.cost(median, now) {
		return b, false
	}
	return a, false
}

// nearFirst returns the endpoints in the own data centre, or all if there are none.
func (e *Endpoints) nearFirst(list []*Endpoint) []*Endpoint {
	if near := e.near(list); len(near) > 0 {
		return near
	}
	return list
}

// isLocal reports whether a gate is in the own data centre.
func (e *Endpoints) isLocal(n *Endpoint) bool { return n.member.DataCentre == e.dataCentre }

// near returns the endpoints in the own data centre.
func (e *Endpoints) near(list []*Endpoint) []*Endpoint {
	var out []*Endpoint
	for _, n := range list {
		if e.isLocal(n) {
			out = append(out, n)
		}
	}
	return out
}

// cost estimates the time a request would take at the gate. A gate without a recent
// response time counts as the median.
func (e *Endpoint) cost(median time.Duration, now time.Time) float64 {
	s := e.Status()
	mean := e.responseTime.at(now)
	if mean == 0 {
		mean = max(median, time.Millisecond)
	}
	busy := 1 + float64(e.inFlight.Load())/float64(max(s.Slots, 1))
	return busy * float64(mean) * (1 + s.Suspicion)
}
