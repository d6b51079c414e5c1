package ingress

import (
	"time"

	"eiderfold/switches"
)

const (
	// minSpillSlots is how many free slots a gate of another data centre must have for a request to be
	// sent there at once: with a single one, the request often finds it taken and has crossed for
	// nothing.
	minSpillSlots = 2
	// minSpillShare is the share of its slots that must be free. A gate with fewer is in a data centre
	// that may soon need them itself, and whose requests would then cross in their turn.
	minSpillShare = 0.5
)

// spillSlots returns how many slots of a reported room this node may use for requests that spill over
// from its data centre. Free slots are divided among the nodes that may know of them, so that these do
// not all send requests there at once. The number is rounded at random, once for each report: over all
// nodes, the sum is about the number of free slots, however many requests each of them has. The
// parameter rounding is uniform in [0, 1).
func spillSlots(free int, nodes, rounding float64) int {
	return int(float64(free)/max(nodes, 1) + rounding)
}

// spillable reports whether a request may spill over to the gate now, given its slots and how many nodes
// know of its room.
func (r *reportedRoom) spillable(now time.Time, slots int, nodes float64, draw func() float64) bool {
	free := r.room.Free - r.sent
	if !now.Before(r.until) || free < minSpillSlots || float64(free) < minSpillShare*float64(slots) {
		return false
	}
	if !r.drawn {
		r.rounding, r.drawn = draw(), true
	}
	return r.sent < spillSlots(r.room.Free, nodes, r.rounding)
}

// spill returns a gate of another data centre to which a request is offered at once, as it would wait
// for too long in the own one; nil for none. It handles the load of data centres that are busy at
// different times.
func (e *Endpoints) spill(c candidates, crit criteria, now time.Time) *Endpoint {
	if crit.maxLocalWait <= 0 {
		return nil
	}
	if wait, known := c.local.wait(); !known || wait <= crit.maxLocalWait {
		return nil
	}
	gates := timed(c.open, now)
	median := medianResponseTime(gates)
	pool := e.spillTargets(withoutSlow(gates, median), now)
	if len(pool) == 0 {
		return nil
	}
	n, _ := e.betterOf(e.oneOf(pool), e.oneOf(pool), median, now)
	return n
}

// spills reports whether requests spill over to other data centres.
func (e *Endpoints) spills() bool {
	return e.switches.On(switches.Room) && e.switches.On(switches.PreferLocal)
}

// spillTargets returns the gates of other data centres to which a request may spill over.
//
// A room that was reported to all is known to all nodes. One that was reported to this node alone is
// assumed to be known to the same share of the nodes as the share of the gates there whose room this
// node knows.
func (e *Endpoints) spillTargets(open []*Endpoint, now time.Time) []*Endpoint {
	var far, out []*Endpoint
	known := 0
	for _, n := range open {
		if e.isLocal(n) {
			continue
		}
		far = append(far, n)
		if _, ok := n.room(now); ok {
			known++
		}
	}
	nodes := float64(e.size())
	for _, n := range far {
		knowing := nodes * float64(known) / float64(len(far))
		if n.spillable(now, nodes, knowing, e.draw) {
			out = append(out, n)
		}
	}
	return out
}

// spillable reports whether a request may spill over to the gate now, given the number of nodes,
// and how many of them know a room that a gate did not report to all.
func (e *Endpoint) spillable(now time.Time, nodes, knowing float64, draw func() float64) bool {
	e.roomMu.Lock()
	defer e.roomMu.Unlock()
	if e.reported.toAll {
		knowing = nodes
	}
	return e.reported.spillable(now, e.status.Load().Slots, knowing, draw)
}

// size returns the number of known gates, and so of nodes.
func (e *Endpoints) size() int {
	sum := 0
	for _, list := range *e.services.Load() {
		sum += len(list)
	}
	return sum
}

// maxLocalWait returns for how long the request may wait in the own data centre before it is offered
// elsewhere; 0 if it is not offered there early, for example once it waits in a queue.
func (f *inFlightRequest) maxLocalWait(now time.Time) time.Duration {
	if f.route.Target <= 0 || len(f.offers) > 0 || !f.forwarder.endpoints.spills() {
		return 0
	}
	return max(f.arrived.Add(f.farAfter()).Sub(now), 1)
}
