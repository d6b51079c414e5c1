package gate

import (
	"go.uber.org/zap"

	"eiderfold/link"
)

// update moves the admission on and carries its commands out.
func (g *Gate) update(m Message) {
	g.mu.Lock()
	var announced *link.Status
	for _, c := range g.admission.Update(m) {
		if _, ok := c.(Announce); ok {
			s := g.admission.Status()
			announced = &s
			continue
		}
		g.execute(c)
	}
	g.mu.Unlock()
	if announced != nil {
		g.log.Info("gate mode", zap.Stringer("mode", announced.Mode), zap.String("upstream", announced.Upstream),
			zap.Float64("suspicion", announced.Suspect), zap.Duration("usual", announced.Usual), zap.String("cause", cause(m)))
		g.announce()
	}
}

// cause names the message that changed the mode, for the log.
func cause(m Message) string {
	switch m := m.(type) {
	case Ended:
		return "attempt " + m.Outcome.String()
	case Reported:
		if m.Report.Leaving {
			return "upstream leaves"
		}
		return "upstream reported"
	case Confirmed:
		return "confirmed"
	case Evacuated:
		return "evacuation"
	case Stopping:
		return "node stops"
	default:
		return "time passed"
	}
}

// execute carries out one command with the lock held.
func (g *Gate) execute(c Command) {
	switch c := c.(type) {
	case Grant:
		g.answer(c.Key, &link.Frame{Granted: &link.Granted{Key: c.Key}})
	case Queue:
		g.answer(c.Key, &link.Frame{Queued: &link.Queued{Key: c.Key}})
	case Refuse:
		g.count("gate_refused_" + c.Reason.String())
		g.answer(c.Key, &link.Frame{Refused: &link.Refused{Key: c.Key, Reason: c.Reason, After: c.After}})
		delete(g.calls, c.Key)
	case Start:
		g.start(c.Key)
	case Warn:
		g.count("gate_silent")
		g.answer(c.Key, &link.Frame{Silent: &link.Silent{Key: c.Key}})
	case Abort:
		if call := g.calls[c.Key]; call != nil && call.cancel != nil {
			call.cancel()
		}
	case Confirm:
		go g.confirm(c.Upstream)
	}
}

// answer sends a message about an offer, with the lock held.
func (g *Gate) answer(k link.Key, f *link.Frame) {
	if c := g.calls[k]; c != nil {
		c.sink.Send(f)
	}
}
