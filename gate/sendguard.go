package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
)

// sendGuard decides right before the first write of a request to the upstream whether it is still
// written. The decision to start the request may be older: a connection had to be made, or the process
// stood still.
type sendGuard interface {
	// begin returns nil if the request may be written, and end must be called then. Otherwise it returns
	// why the request has not run.
	begin() *failure
	// end is called once the first bytes were handed to the kernel, or could not be.
	end()
}

// pendingWrites counts the first writes in progress to the incarnations with one id.
type pendingWrites struct {
	count int
	none  chan struct{} // Closed when the count drops to 0.
}

// attemptGuard is the sendGuard of an attempt.
type attemptGuard struct {
	gate     *Gate
	attempt  *activeOffer
	upstream port.Incarnation
}

// begin refuses a request that was quarantined since it was started, whose upstream may get no new work any
// more, or that is a repeat for which there is no budget any more.
func (w *attemptGuard) begin() *failure {
	g := w.gate
	now := time.Now()
	if left := g.tracker.Remaining(now, w.attempt.fingerprint); left > 0 {
		return g.notWritten(link.ReasonQuarantined, left)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admission.mayWrite(w.upstream) {
		return g.notWritten(link.ReasonClosed, 0)
	}
	if late, retryAfter := g.admission.lacksBudget(now, w.attempt.offer.Key); late {
		g.count("repeat_written_late")
		return g.notWritten(link.ReasonBudget, retryAfter)
	}
	w.attempt.written = now
	p := g.writes[w.upstream.ID]
	if p == nil {
		p = &pendingWrites{none: make(chan struct{})}
		g.writes[w.upstream.ID] = p
	}
	p.count++
	return nil
}

// notWritten returns the failure of a started request that is not written.
func (g *Gate) notWritten(reason link.Reason, retryAfter time.Duration) *failure {
	g.count("attempt_not_written")
	return &failure{outcome: NoEvidence, reason: reason, retryAfter: retryAfter, detail: "not written: " + reason.String()}
}

// end ends a write that begin allowed.
func (w *attemptGuard) end() {
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.writes[w.upstream.ID]
	p.count--
	if p.count == 0 {
		close(p.none)
		delete(g.writes, w.upstream.ID)
	}
}

// AwaitWrites waits until no first write to an upstream that leaves is in progress. After that none follows, so
// that the leaving can be acknowledged. Writes to earlier starts of its id count: they would reach it.
func (g *Gate) AwaitWrites(ctx context.Context, upstream port.Incarnation) error {
	g.mu.Lock()
	p := g.writes[upstream.ID]
	g.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.none:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "writes to the upstream")
	}
}

// LeavingState returns whether the gate is closed for all incarnations with the id of one that leaves, and
// how many started attempts have not begun to write their requests.
func (g *Gate) LeavingState(upstream port.Incarnation) (closed bool, unwritten int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.admission.upstream
	return upstream.ID != current.ID || g.admission.leaving.contains(current), g.unwritten()
}

// unwritten returns how many attempts have started and not begun to write. The caller holds the
// lock.
func (g *Gate) unwritten() int {
	n := 0
	for _, ao := range g.active {
		if ao.cancel != nil && ao.written.IsZero() {
			n++
		}
	}
	return n
}

// logLeavingUpstream logs an attempt that ended after its upstream had said that it leaves, with when it
// started and was written relative to that; negative times are before it.
func (g *Gate) logLeavingUpstream(ao *activeOffer, upstream port.Incarnation, started time.Time, o Outcome) {
	g.mu.Lock()
	left, ok := g.admission.leaving.learnedAt(upstream)
	written := ao.written
	g.mu.Unlock()
	if !ok {
		return
	}
	fields := []zap.Field{zap.String("attempt", ao.offer.Attempt), zap.Stringer("key", ao.offer.Key), zap.Stringer("upstream", upstream),
		zap.String("outcome", o.String()), zap.Duration("started_after", started.Sub(left)), zap.Duration("ended_after", time.Since(left))}
	if !written.IsZero() {
		fields = append(fields, zap.Duration("written_after", written.Sub(left)))
	}
	g.log.Info("attempt at a leaving upstream", fields...)
}
