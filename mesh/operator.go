package mesh

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"eiderfold/port"
)

// applyOperatorEntries applies the complete operator state as of a store revision.
func (n *Node) applyOperatorEntries(entries []port.Entry, at port.StoreRevision) {
	var evacuated []string
	for _, e := range entries {
		if e.Key == n.platform.ConfigurationKey {
			n.config.apply(e.Value, "store")
			continue
		}
		if dataCentre, ok := n.evacuatedDataCentre(e); ok {
			evacuated = append(evacuated, dataCentre)
		}
	}
	n.noteEra(at.Era)
	n.evacuation.apply(operatorState{at: at, evacuated: evacuated})
}

// noteEra records the store's era. A later era than before means that the store was
// restored and may have lost this node's records.
func (n *Node) noteEra(era uint64) {
	before := n.era.Load()
	for before <= era && !n.era.CompareAndSwap(before, era+1) {
		before = n.era.Load()
	}
	if before == 0 || before > era {
		return // The first known era, or not a later one.
	}
	n.log.Warn("the store was restored", zap.Uint64("era", era))
	n.directory.restore()
	wake(n.quarantine.restored)
}

// applyOperatorEvents applies changes of the operator state up to a store revision.
func (n *Node) applyOperatorEvents(events []port.Entry, at port.StoreRevision) {
	evacuated := n.evacuation.current().evacuated
	for _, e := range events {
		if e.Key == n.platform.ConfigurationKey && !e.Removed {
			n.config.apply(e.Value, "watch")
			continue
		}
		dataCentre, ok := n.evacuatedDataCentre(e)
		if !ok {
			continue
		}
		evacuated = slices.DeleteFunc(slices.Clone(evacuated), func(name string) bool { return name == dataCentre })
		if !e.Removed {
			evacuated = append(evacuated, dataCentre)
		}
	}
	n.evacuation.apply(operatorState{at: at, evacuated: evacuated})
}

// evacuatedDataCentre returns the data centre that an entry marks as evacuated.
func (n *Node) evacuatedDataCentre(e port.Entry) (dataCentre string, ok bool) {
	dataCentre, ok = strings.CutPrefix(e.Key, n.platform.EvacuationPrefix)
	return dataCentre, ok && dataCentre != ""
}
