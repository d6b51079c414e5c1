package gate

import (
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

// update passes a message to the admission and carries out the resulting commands.
func (g *Gate) update(m Message) {
	g.mu.Lock()
	announced := g.apply(m)
	g.mu.Unlock()
	g.announceMode(m, announced)
}

// updateOffer does the same for a message about an offer and reports whether it did: not if the offer was withdrawn or
// forgotten, also if that was in the middle of handling the message.
func (g *Gate) updateOffer(ao *activeOffer, m Message) bool {
	g.mu.Lock()
	active := g.active[ao.offer.Key] == ao
	var announced *link.Status
	if active {
		announced = g.apply(m)
	}
	g.mu.Unlock()
	g.announceMode(m, announced)
	return active
}

// apply passes a message to the admission, carries out the resulting commands and returns the status to announce, nil
// for none. The caller holds the lock.
func (g *Gate) apply(m Message) (announced *link.Status) {
	for _, c := range g.admission.Update(m) {
		if _, ok := c.(Announce); ok {
			s := g.admission.Status()
			announced = &s
			continue
		}
		g.execute(m.at(), c)
	}
	return announced
}

// announceMode logs and announces the status that a message has led to, unless it is nil. The caller does not hold the
// lock.
func (g *Gate) announceMode(m Message, announced *link.Status) {
	if announced == nil {
		return
	}
	g.log.Info("gate mode", zap.Stringer("mode", announced.Mode), zap.String("upstream", announced.Upstream),
		zap.Float64("suspicion", announced.Suspicion), zap.Duration("usual", announced.MeanResponseTime), zap.Bool("limited", announced.Limited), zap.Float64("limit", announced.Limit), zap.String("cause", cause(m)))
	g.announce()
}

// cause returns the log text for the message that changed the mode.
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
	case Stated:
		if m.Leaving {
			return "upstream leaves"
		}
		return "upstream's answer"
	case Evacuated:
		return "evacuation"
	case Stopping:
		return "node stops"
	default:
		return "time passed"
	}
}

// execute carries out one command. The caller holds the lock.
func (g *Gate) execute(at time.Time, c Command) {
	switch c := c.(type) {
	case Grant:
		g.answer(c.Key, &link.Frame{Granted: &link.Granted{Key: c.Key, Room: g.admission.Room(at)}})
	case Queue:
		if c.Doubted {
			g.count("gate_doubted")
		}
		g.countDelay(c.Delay)
		g.answer(c.Key, &link.Frame{Queued: &link.Queued{Key: c.Key, Room: g.admission.Room(at)}})
	case Refuse:
		g.count("gate_refused_" + c.Reason.String())
		if c.Yields {
			g.count("gate_yielded")
		}
		if c.Reserved {
			g.count("gate_refused_budget_reserved")
		}
		g.logNested(c)
		g.answer(c.Key, &link.Frame{Refused: &link.Refused{Key: c.Key, Reason: c.Reason, RetryAfter: c.RetryAfter, Room: g.admission.Room(at)}})
		delete(g.active, c.Key)
	case Start:
		g.start(at, c.Key)
	case Warn:
		g.count("gate_silent") // Counts Overdue frames.
		g.answer(c.Key, &link.Frame{Overdue: &link.Overdue{Key: c.Key}})
	case Abort:
		if ao := g.active[c.Key]; ao != nil && ao.cancel != nil {
			ao.cancel()
		}
	case Confirm:
		go g.confirm(c.Upstream)
	case RecordLeaving:
		go g.recordLeaving(c.Upstream)
	}
}

// answer sends a frame to the ingress that made the offer. The caller holds the lock.
func (g *Gate) answer(k link.Key, f *link.Frame) {
	if ao := g.active[k]; ao != nil {
		ao.sink.Send(f)
	}
}
