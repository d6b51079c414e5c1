package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"eiderfold/link"
)

// LinkCounts is the number of nodes of each service to which links are kept.
type LinkCounts struct {
	Near int // In this node's data centre.
	Far  int // In the other data centres.
}

// group identifies the nodes of a service, either in this node's data centre or in the others.
type group struct {
	service string
	near    bool
}

// selection selects the nodes to link to. The nodes of each group are kept in order as they
// join and leave: searching all of them on each change would take quadratic time in the size
// of the fleet.
type selection struct {
	LinkCounts
	dataCentre string
	groups     map[group][]*entry // Sorted by preference.
	dialed     map[string]bool
	required   map[string]bool // Dialed whether selected or not.
	changed    bool            // The selection may differ from dialed.
}

func newSelection(counts LinkCounts, dataCentre string) selection {
	return selection{LinkCounts: counts, dataCentre: dataCentre, groups: map[group][]*entry{}, dialed: map[string]bool{}, required: map[string]bool{}}
}

func (c *selection) groupOf(m link.Member) group {
	return group{service: m.Service, near: m.DataCentre == c.dataCentre}
}

// limit returns the number of nodes of a group to which links are kept.
func (c *selection) limit(g group) int {
	if g.near {
		return c.Near
	}
	return c.Far
}

// compareEntries orders the nodes of a group by preference, then by address.
func (c *selection) compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.preference, b.preference), strings.Compare(a.Address, b.Address))
}

// insert adds a node to its group.
func (c *selection) insert(e *entry) {
	g := c.groupOf(e.Member)
	list := c.groups[g]
	i, _ := slices.BinarySearchFunc(list, e, c.compareEntries)
	c.groups[g] = slices.Insert(list, i, e)
	c.changed = c.changed || i < c.limit(g)
}

// remove removes a node from its group; a link to it is no longer required.
func (c *selection) remove(e *entry) {
	g := c.groupOf(e.Member)
	list := c.groups[g]
	if i, ok := slices.BinarySearchFunc(list, e, c.compareEntries); ok {
		c.groups[g] = slices.Delete(list, i, i+1)
	}
	delete(c.required, e.Address)
	c.changed = c.changed || c.dialed[e.Address]
}

// reconcile returns the commands that make the links match the selection.
func (c *selection) reconcile() []Command {
	if !c.changed {
		return nil
	}
	c.changed = false
	var out []Command
	chosen := maps.Clone(c.required)
	for g, list := range c.groups {
		for _, e := range list[:min(len(list), c.limit(g))] {
			chosen[e.Address] = true
			if !c.dialed[e.Address] {
				out = append(out, Dial{Member: e.Member})
			}
		}
	}
	for address := range c.dialed {
		if !chosen[address] {
			out = append(out, Drop{Address: address})
		}
	}
	c.dialed = chosen
	return out
}

// needed dials a node that is not selected.
func (v *View) needed(m Needed) []Command {
	member, ok := v.Member(m.Address)
	if !ok || v.dialed[m.Address] {
		return nil
	}
	v.required[m.Address] = true
	v.dialed[m.Address] = true
	return []Command{Dial{Member: member}}
}
