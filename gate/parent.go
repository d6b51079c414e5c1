package gate

import "eiderfold/overload"

// Parent returns the running attempt for which the upstream makes a nested request, by the
// attempt id that the nested request carries. It returns false if no such attempt runs here.
func (g *Gate) Parent(attempt string) (overload.Parent, bool) {
	if attempt == "" {
		return overload.Parent{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, ao := range g.active {
		if ao.cancel != nil && ao.offer.Attempt == attempt {
			return overload.Parent{Priority: ao.offer.Priority, TargetDeadline: ao.target, Deadline: ao.deadline, Repeat: ao.repeat,
				Account: shareAccount(ao.offer), Weight: ao.offer.Weight}, true
		}
	}
	return overload.Parent{}, false
}
