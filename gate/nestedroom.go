package gate

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/switches"
)

// WithNestedWait sets the lookup of the shortest wait for a service, as this node knows it, and
// whether it is known. Without it, no offer is refused for lack of room for its nested requests.
// The function is called with the gate's lock held.
func WithNestedWait(f overload.NestedWait) Option {
	return func(g *Gate) { g.nestedWait = f }
}

// Nested records that the upstream makes a nested request to a service for a running attempt,
// and returns a function to be called when that request has ended, with the status of its answer
// or 0 if there is none.
func (g *Gate) Nested(attempt, service string) (ended func(status int)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ao := g.running(attempt)
	if ao == nil {
		return func(int) {}
	}
	k := ao.offer.Key
	began := time.Now()
	g.admission.NestedBegan(began, k, service)
	return func(status int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.admission.NestedEnded(time.Now(), k, service, time.Since(began), status)
	}
}

// SetNestedWait sets the lookup of the shortest wait for a service. Call it before the first
// message.
func (a *Admission) SetNestedWait(f overload.NestedWait) { a.nestedWait = f }

// NestedBegan records that a running attempt makes a nested request to a service.
func (a *Admission) NestedBegan(at time.Time, k link.Key, service string) {
	if e := a.entries[k]; e != nil && e.phase == running {
		e.nested.Begin(at, service)
	}
}

// NestedEnded records the end of a nested request that NestedBegan was called for, how long it
// took and the status of its answer, 0 without one. The attempt may have ended before.
func (a *Admission) NestedEnded(at time.Time, k link.Key, service string, took time.Duration, status int) {
	e := a.entries[k]
	if e == nil {
		return
	}
	e.nested.End(at, service)
	if status != 0 {
		a.nested.NoteNested(at, e.Kind, service, took, status != http.StatusServiceUnavailable)
	}
}

// noteNested learns from the nested requests of an attempt that has ended.
func (a *Admission) noteNested(m Ended, e *entry) {
	a.nested.NoteRun(m.At, e.Kind, &e.nested, m.Took, m.Outcome == Good)
}

// refuseNested refuses an offer whose nested requests would find no room; otherwise, it returns
// nil. While no other offer waits for a slot, it is admitted: not all runs of a kind make nested
// requests, and one that fails keeps nobody waiting. A forced offer is not refused, since it keeps
// the floor share of gates in use.
func (a *Admission) refuseNested(m Offered) []Command {
	contended := a.Saturated() && len(a.queue) > 0
	if a.nestedWait == nil || !contended || m.Force || !a.switches.On(switches.NestedRoom) {
		return nil
	}
	service, wait, refuse := a.nested.Refuse(m.At, m.Kind, m.TargetDeadline, m.Deadline, a.nestedWait)
	if !refuse {
		return nil
	}
	return []Command{Refuse{Key: m.Key, Reason: link.ReasonNested, RetryAfter: wait, NestedService: service}}
}

// logNested logs a refusal for lack of room for nested requests. The caller holds the lock.
func (g *Gate) logNested(c Refuse) {
	if ao := g.active[c.Key]; ao != nil && c.Reason == link.ReasonNested {
		g.log.Info("no room for nested requests", zap.String("attempt", ao.offer.Attempt), zap.String("service", c.NestedService), zap.Duration("wait", c.RetryAfter))
	}
}
