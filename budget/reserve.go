package budget

import "math"

// Load: all upstreams of a service shed most of their work for some seconds, so that far more
// requests need a repeat than the fleet's limit allows. Without a reserve, those that come first
// use the budget, however little they are worth to the callers.
const (
	// shortShare is the part of the budget below which it is short.
	shortShare = 0.5
	// reservedShare is the part of a short budget that is reserved for more urgent repeats. The
	// rest is left to all, so that no priority is without repeats.
	reservedShare = 0.5
	// urgencies is the number of urgencies that are distinguished, which bounds the state. Lower
	// urgencies count as the last one.
	urgencies = 32
)

// Urgency ranks repeats; 0 is the most urgent.
type Urgency int

// MostUrgent is the urgency for which no part of the budget is withheld.
const MostUrgent Urgency = 0

// UrgencyOf returns the urgency of a repeat by the priority of its request; 0 goes first, and an
// invalid priority below it counts as 0. Within a priority, orders that were shed go before other
// repeats: a request that can be repeated may still get an answer from an attempt that runs.
func UrgencyOf(priority int, shedOrder bool) Urgency {
	p := min(max(priority, 0), urgencies/2-1)
	if shedOrder {
		return Urgency(2 * p)
	}
	return Urgency(2*p + 1)
}

// reserve decides which part of the budget is withheld from repeats for the sake of more urgent
// ones. That is a part of a short budget, but no more repeats than more urgent requests needed
// within the last window, and less those that they have already taken from that part within it. So
// it is available to all as soon as the more urgent requests have had it, and otherwise within a
// window after the last of them. It only ever lowers what the budget allows.
type reserve struct {
	levels [urgencies]demand
}

// demand counts the repeats of an urgency in the window.
type demand struct {
	needed windowCounter // Taken, or refused for want of budget.
	drawn  windowCounter // Taken from the part that can be reserved.
}

// reservable returns how many repeats of a bound are reserved at most. They are whole, as the rest
// of one would be withheld without use to anybody. The gate's rank rounds them, as it does the bound.
func reservable(bound, rounding float64) float64 {
	return math.Floor(shortShare*reservedShare*bound + rounding)
}

// before returns how many more urgent requests than those of an urgency needed a repeat, and drew from the part
// that can be reserved.
func (r *reserve) before(newest int64, u Urgency) (needed, drawn float64) {
	for i := range r.levels[:u] {
		needed += r.levels[i].needed.upperBound(newest)
		drawn += r.levels[i].drawn.upperBound(newest)
	}
	return needed, drawn
}

// withheld returns how many of the repeats that can be reserved are withheld from an urgency, given
// how many more urgent requests needed, and drew from that part.
func withheld(needed, drawn, reservable float64) float64 {
	return max(min(needed, reservable)-drawn, 0)
}

// take records a repeat that was taken, and whether it came from the part that can be reserved.
func (r *reserve) take(newest int64, k AttemptKind, u Urgency, fromReserve bool) {
	r.need(newest, k, u)
	if fromReserve {
		r.levels[u].drawn.add(newest)
	}
}

// need counts a repeat that was taken or refused. Hedges do not need the reserve, as they may not
// use the last part of the budget.
func (r *reserve) need(newest int64, k AttemptKind, u Urgency) {
	if k != Hedge {
		r.levels[u].needed.add(newest)
	}
}

// refund removes a repeat that was taken in a bucket.
func (r *reserve) refund(taken int64, u Urgency) {
	r.levels[u].needed.remove(taken)
	r.levels[u].drawn.remove(taken)
}
