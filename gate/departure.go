package gate

import (
	"slices"
	"time"

	"eiderfold/port"
)

// departure is an incarnation that is leaving or has left.
type departure struct {
	port.Incarnation
	at time.Time // When the gate learned of it.
}

// departures holds the latest departures, at most maxIncarnations.
type departures []departure

// index returns the position of an incarnation's departure, -1 if there is none.
func (d departures) index(i port.Incarnation) int {
	return slices.IndexFunc(d, func(o departure) bool { return o.Incarnation == i })
}

// contains reports whether an incarnation is leaving or has left.
func (d departures) contains(i port.Incarnation) bool { return d.index(i) >= 0 }

// learnedAt returns when the gate learned that an incarnation leaves; false if it does not leave.
func (d departures) learnedAt(i port.Incarnation) (time.Time, bool) {
	n := d.index(i)
	if n < 0 {
		return time.Time{}, false
	}
	return d[n].at, true
}

// add adds an incarnation unless it is known, and evicts the oldest one if there are too many.
func (d *departures) add(at time.Time, i port.Incarnation) {
	if d.contains(i) {
		return
	}
	if len(*d) >= maxIncarnations {
		*d = (*d)[1:]
	}
	*d = append(*d, departure{Incarnation: i, at: at})
}
