package route

import "slices"

// Regions are those in which a request may run.
type Regions struct {
	bound bool // Without it, all regions.
	names []string
}

// RegionsOf returns where a request of a route and an account, nil without one, may run.
// Where both are bound, both bind.
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

// Allow tells whether a region is among them.
func (r Regions) Allow(region string) bool { return !r.bound || slices.Contains(r.names, region) }

// Bound tells whether there are regions in which the request may not run.
func (r Regions) Bound() bool { return r.bound }
