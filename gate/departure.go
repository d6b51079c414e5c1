package gate

import (
	"slices"
	"time"

	"eiderfold/port"
)

// departure is an incarnation that is leaving or has left.
type departure struct {
	port.Incarnation
	at    time.Time // When the gate learned of it.
	until time.Time // When it was last reported.
}

// covers reports whether the departure concerns an incarnation.
func (d departure) covers(i port.Incarnation) bool {
	return d.ID == i.ID && d.CoversStart(i.StartedAt, d.until)
}

// departures holds the latest departures, at most maxIncarnations.
type departures []departure

// index returns the position of an incarnation's departure, -1 if there is none.
func (d departures) index(i port.Incarnation) int {
	return slices.IndexFunc(d, func(o departure) bool { return o.covers(i) })
}

// contains reports whether an incarnation is leaving or has left.
func (d departures) contains(i port.Incarnation) bool { return i.ID != "" && d.index(i) >= 0 }

// learnedAt returns when the gate learned that an incarnation leaves; false if it does not leave.
func (d departures) learnedAt(i port.Incarnation) (time.Time, bool) {
	n := d.index(i)
	if n < 0 {
		return time.Time{}, false
	}
	return d[n].at, true
}

// add adds an incarnation, or notes that it was reported again. It evicts the oldest one if there are too
// many.
func (d *departures) add(at time.Time, i port.Incarnation) {
	if n := slices.IndexFunc(*d, func(o departure) bool { return o.Incarnation == i }); n >= 0 {
		(*d)[n].until = at
		return
	}
	if len(*d) >= maxIncarnations {
		*d = (*d)[1:]
	}
	*d = append(*d, departure{Incarnation: i, at: at, until: at})
}
