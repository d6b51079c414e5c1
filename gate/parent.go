package gate

import "eiderfold/overload"

// Parent returns the running attempt for which the upstream makes a nested request, by the
// attempt id that the nested request carries. It returns false if no such attempt runs here.
func (g *Gate) Parent(attempt string) (overload.Parent, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ao := g.running(attempt)
	if ao == nil {
		return overload.Parent{}, false
	}
	return overload.Parent{Priority: ao.offer.Priority, TargetDeadline: ao.target, Deadline: ao.deadline, Repeat: ao.repeat,
		Account: shareAccount(ao.offer), Weight: ao.offer.Weight}, true
}

// running returns the running attempt with an id, nil if there is none. The caller holds the lock.
func (g *Gate) running(attempt string) *activeOffer {
	if attempt == "" {
		return nil
	}
	for _, ao := range g.active {
		if ao.cancel != nil && ao.offer.Attempt == attempt {
			return ao
		}
	}
	return nil
}
