package route

import "slices"

// Regions is the set of regions in which a request may run.
type Regions struct {
	bound bool // If false, the set holds all regions.
	names []string
}

// RegionsOf returns the regions in which a request of a route and an account, nil without
// one, may run. If both are bound, the result is their intersection.
func RegionsOf(r *Route, a *Account) Regions {
	switch {
	case a == nil || len(a.Regions) == 0:
		return Regions{bound: len(r.Regions) > 0, names: r.Regions}
	case len(r.Regions) == 0:
		return Regions{bound: true, names: a.Regions}
	}
	both := Regions{bound: true}
	for _, name := range r.Regions {
		if slices.Contains(a.Regions, name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Allow reports whether the set holds a region.
func (r Regions) Allow(region string) bool { return !r.bound || slices.Contains(r.names, region) }

// Restricted reports whether the request is bound to certain regions.
func (r Regions) Restricted() bool { return r.bound }
