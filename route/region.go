package route

import "slices"

// Regions is the set of regions in which a request may run.
type Regions struct {
	restricted bool // If false, the set holds all regions.
	names      []string
}

// RegionsOf returns the regions in which a request may run, by its route and its account (nil
// if it has none). If both list regions, the result is their intersection, which may be empty.
func RegionsOf(r *Route, a *Account) Regions {
	switch {
	case a == nil || len(a.Regions) == 0:
		return Regions{restricted: len(r.Regions) > 0, names: r.Regions}
	case len(r.Regions) == 0:
		return Regions{restricted: true, names: a.Regions}
	}
	both := Regions{restricted: true}
	for _, name := range r.Regions {
		if slices.Contains(a.Regions, name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Allow reports whether the set holds a region.
func (r Regions) Allow(region string) bool { return !r.restricted || slices.Contains(r.names, region) }

// Restricted reports whether the request may run in certain regions only.
func (r Regions) Restricted() bool { return r.restricted }
