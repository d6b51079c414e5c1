package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eiderfold/link"
	"eiderfold/switches"
)

// ticked ends what has waited for too long, and counts attempts that hang.
func (a *Admission) ticked(at time.Time) []Command {
	a.tick(at)
	out := a.reorder(at)
	for _, e := range a.inOrder() {
		switch {
		case e.phase == granted && at.After(e.until):
			a.drop(e)
			out = append(out, Refuse{Key: e.Key, Reason: link.ReasonExpired})
		case e.phase == queued && at.After(e.until):
			a.drop(e)
			out = append(out, Refuse{Key: e.Key, Reason: link.ReasonBusy, After: a.wait(at, len(a.queue))})
		case e.phase == running && a.failsTry(at, e):
			e.hung = true
			a.bad(at, suspicionHang)
		}
	}
	if !a.trial && a.switches.On(switches.Silence) && a.silent(at) {
		a.fallSilent(at)
	}
	if a.trial && a.switches.On(switches.Warnings) {
		out = append(out, a.warn(at)...)
	}
	return out
}

// inOrder returns the offers in hand in the order in which they came.
func (a *Admission) inOrder() []*entry {
	return slices.SortedFunc(maps.Values(a.entries), func(x, y *entry) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Key.Number, y.Key.Number))
	})
}

// warn tells of attempts on trial that are not answered, each once.
func (a *Admission) warn(at time.Time) []Command {
	var out []Command
	for _, e := range a.inOrder() {
		if e.phase != running || !e.Retryable || e.warned || a.weigh(at, e.sample) < silenceOfTry {
			continue
		}
		e.warned = true
		out = append(out, Warn{Key: e.Key})
	}
	return out
}

// settle refuses what the mode no longer takes, starts what has a slot, and
// announces a new mode.
func (a *Admission) settle(at time.Time) []Command {
	var out []Command
	mode := a.Mode()
	if mode != link.ModeOpen {
		out = a.clear(mode)
	}
	for _, e := range slices.Clone(a.queue) {
		if !a.free(at, e) {
			continue // One that is less in doubt may follow.
		}
		a.queue = slices.DeleteFunc(a.queue, func(o *entry) bool { return o == e })
		out = append(out, a.admit(at, e)...)
	}
	if mode != a.mode {
		a.mode = mode
		out = append(out, Announce{Why: mode.String()})
	}
	return out
}

// clear refuses what waits when the gate is closed or goes on trial. Offers that
// hold a slot keep it on trial, as they may be committed already.
func (a *Admission) clear(mode link.Mode) []Command {
	var out []Command
	for _, e := range a.inOrder() {
		closed := mode == link.ModeClosed && e.phase != running
		tried := mode == link.ModeTrial && e.phase == queued && !e.Force
		if !closed && !tried {
			continue
		}
		a.drop(e)
		reason := link.ReasonClosed
		if tried {
			reason = link.ReasonTrial
		}
		out = append(out, Refuse{Key: e.Key, Reason: reason})
	}
	return out
}
