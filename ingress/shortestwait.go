package ingress

import (
	"time"

	"eiderfold/link"
	"eiderfold/route"
)

// waitEstimate estimates how long a request would wait at the best of some gates. It handles the load
// at which no gate has a free slot.
type waitEstimate struct {
	gates    int
	known    int // Gates whose room is known.
	shortest time.Duration
}

// add adds a gate and its room, if that is known.
func (w *waitEstimate) add(room link.Room, known bool) {
	w.gates++
	if !known {
		return
	}
	if w.known == 0 || room.Wait < w.shortest {
		w.shortest = room.Wait
	}
	w.known++
}

// wait returns the shortest wait, 0 if some gate has a free slot. Without a free slot it is known only
// if as many rooms are known as one request would ask gates: fewer may be full by chance.
func (w *waitEstimate) wait() (wait time.Duration, known bool) {
	if w.known == 0 || w.shortest > 0 && w.known < min(w.gates, maxOffers) {
		return 0, false
	}
	return w.shortest, true
}

// ShortestWait returns how long a request for a service would wait at the best gate, by the rooms that
// its gates have reported to this node, and whether that is known. It is 0 if some gate has a free slot.
func (e *Endpoints) ShortestWait(service string, now time.Time) (wait time.Duration, known bool) {
	var w waitEstimate
	for _, n := range e.Of(service) {
		status := n.status.Load()
		if status.Mode == link.ModeOpen && n.Reachable() && !n.suspected(now) && e.eligible(n, route.Regions{}) && !e.statements.leaves(*status) {
			w.add(n.room(now))
		}
	}
	return w.wait()
}
