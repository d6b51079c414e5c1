package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eiderfold/link"
	"eiderfold/switches"
)

// ticked refuses entries whose wait has expired, and counts attempts that hang.
func (a *Admission) ticked(at time.Time) []Command {
	a.tick(at)
	out := append(a.reorder(at), a.refuseUnreachable(at)...)
	for _, e := range a.inOrder() {
		switch {
		case e.phase == granted && at.After(e.expires):
			a.drop(e)
			out = append(out, Refuse{Key: e.Key, Reason: link.ReasonExpired})
		case e.phase == queued && at.After(e.expires):
			a.drop(e)
			out = append(out, e.afterShare(at, a.refuseWait(at, e.Key, len(a.queue))))
		case e.phase == running && a.trialAttemptHangs(at, e):
			e.hung = true
			a.bad(at, suspicionHang)
		}
	}
	if !a.trial && a.switches.On(switches.HangDetection) && a.unresponsive(at) {
		a.beginHangTrial(at)
	}
	if a.trial && a.switches.On(switches.OverdueNotices) {
		out = append(out, a.warn(at)...)
	}
	return out
}

// inOrder returns all entries in the order of their arrival.
func (a *Admission) inOrder() []*entry {
	return slices.SortedFunc(maps.Values(a.entries), func(x, y *entry) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Key.Number, y.Key.Number))
	})
}

// warn returns a Warn command for each retryable attempt that is not answered, once per attempt.
// It is called on trial only. The ingress gets the warning as an Overdue frame.
func (a *Admission) warn(at time.Time) []Command {
	var out []Command
	for _, e := range a.inOrder() {
		if e.phase != running || !e.Retryable || e.warned || a.sampleEvidence(at, e.sample) < trialAttemptEvidence {
			continue
		}
		e.warned = true
		out = append(out, Warn{Key: e.Key})
	}
	return out
}

// reconcile refuses entries that the current mode no longer allows, admits queued entries that
// have a slot, and announces a changed mode.
func (a *Admission) reconcile(at time.Time) []Command {
	var out []Command
	mode := a.Mode()
	if mode != link.ModeOpen {
		out = a.refuseWaiting(mode)
	}
	out = append(out, a.admitQueued(at)...)
	out = append(out, a.refuseWithoutBudget(at)...)
	limitChanged := a.namedNotice.due(at, &a.named)
	departed := a.leaving.contains(a.upstream)
	changed := mode != a.mode || departed && !a.departed
	a.mode, a.departed = mode, departed
	if changed {
		out = append(out, Announce{Why: mode.String()})
	} else if limitChanged {
		out = append(out, Announce{Why: "limit"})
	}
	return out
}

// admitQueued admits queued entries that have a slot. Whether non-retryable requests have to wait is
// decided once: starting others does not change it.
func (a *Admission) admitQueued(at time.Time) []Command {
	var out []Command
	held := false
	for i := 0; i < len(a.queue) && !a.Saturated(); {
		e := a.queue[i]
		if held && e.mayBeHeld() || !a.canAdmit(at, e) {
			held = held || a.mustWait(at, e)
			i++ // A later entry may be admissible.
			continue
		}
		a.queue = slices.Delete(a.queue, i, i+1)
		out = append(out, a.admit(at, e)...)
	}
	return out
}

// refuseWaiting refuses waiting entries when the gate is closed or on trial. On trial, entries
// with a slot keep it, as their commits may already be on the way.
func (a *Admission) refuseWaiting(mode link.Mode) []Command {
	var out []Command
	for _, e := range a.inOrder() {
		closed := mode == link.ModeClosed && e.phase != running
		onTrial := mode == link.ModeTrial && e.phase == queued && !e.Force
		if !closed && !onTrial {
			continue
		}
		a.drop(e)
		reason := link.ReasonClosed
		if onTrial {
			reason = link.ReasonTrial
		}
		out = append(out, Refuse{Key: e.Key, Reason: reason})
	}
	return out
}
