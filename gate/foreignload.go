package gate

import (
	"time"

	"go.uber.org/zap"

	"eiderfold/port"
)

// foreignLoadTTL is how long a reported load counts: as long as room does at other nodes.
const foreignLoadTTL = 1 * time.Second

// foreignLoad is the work of the upstream that did not come through this gate, as the upstream reports
// it: of other callers, or of attempts that the gate has canceled and the upstream still works on. It
// handles the load at which the gate has free slots and its upstream has none.
type foreignLoad struct {
	work   int       // The lesser of the latest two reports.
	latest int       // By the latest report.
	until  time.Time // Until which it counts.
}

// note processes a report, given how many attempts of the gate were running. A report may have been made
// before an attempt ended, so only work that two reports in a row show counts.
func (l *foreignLoad) note(at time.Time, load port.Load, own int) {
	if load.Slots == 0 {
		return
	}
	work := max(load.Running+load.Waiting-own, 0)
	if !at.Before(l.until) {
		l.latest = 0
	}
	l.work, l.latest, l.until = min(work, l.latest), work, at.Add(foreignLoadTTL)
}

// at returns how much work of others the upstream has.
func (l *foreignLoad) at(at time.Time) int {
	if !at.Before(l.until) {
		return 0
	}
	return l.work
}

// noteMalformedLoad counts and logs a load that an upstream reports and that cannot be true.
func (g *Gate) noteMalformedLoad(now time.Time, upstream port.Incarnation) {
	g.count("upstream_load_malformed")
	if g.logDue(&g.nextLoadLog, now) {
		g.log.Warn("malformed load", zap.Stringer("upstream", upstream))
	}
}
