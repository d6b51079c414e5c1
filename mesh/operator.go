package mesh

import (
	"slices"
	"strings"

	"eiderfold/port"
)

// readOperator takes all that operators have written, as of a moment of the store.
func (n *Node) readOperator(entries []port.Entry, at port.Moment) {
	var evacuated []string
	for _, e := range entries {
		if e.Key == n.platform.ConfigurationKey {
			n.config.take(e.Value, "store")
			continue
		}
		if dataCentre, ok := n.evacuated(e); ok {
			evacuated = append(evacuated, dataCentre)
		}
	}
	n.evacuation.take(wishes{at: at, evacuated: evacuated})
}

// hearOperator takes what operators have written and removed up to a moment of the store.
func (n *Node) hearOperator(events []port.Entry, at port.Moment) {
	evacuated := n.evacuation.known().evacuated
	for _, e := range events {
		if e.Key == n.platform.ConfigurationKey && !e.Removed {
			n.config.take(e.Value, "watch")
			continue
		}
		dataCentre, ok := n.evacuated(e)
		if !ok {
			continue
		}
		evacuated = slices.DeleteFunc(slices.Clone(evacuated), func(name string) bool { return name == dataCentre })
		if !e.Removed {
			evacuated = append(evacuated, dataCentre)
		}
	}
	n.evacuation.take(wishes{at: at, evacuated: evacuated})
}

// evacuated returns the data centre that an entry wants evacuated.
func (n *Node) evacuated(e port.Entry) (dataCentre string, ok bool) {
	dataCentre, ok = strings.CutPrefix(e.Key, n.platform.EvacuationPrefix)
	return dataCentre, ok && dataCentre != ""
}
