package gate

import (
	"time"

	"go.uber.org/zap"

	"eiderfold/port"
)

// sendGuard is called before and after the first write of a request to the upstream.
type sendGuard interface {
	begin()
	end()
}

// attemptGuard is the sendGuard of an attempt.
type attemptGuard struct {
	gate     *Gate
	attempt  *activeOffer
	upstream port.Incarnation
}

// begin notes when the write begins.
func (w *attemptGuard) begin() {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	w.attempt.written = time.Now()
	if w.gate.admission.leaving.contains(w.upstream) {
		w.gate.count("attempt_written_after_leaving")
	}
}

func (w *attemptGuard) end() {}

// LeavingState returns whether an incarnation is the current one and leaves, so that its report had an
// effect, and how many started attempts have not begun to write their requests.
func (g *Gate) LeavingState(upstream port.Incarnation) (closed bool, unwritten int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return upstream == g.admission.upstream && g.admission.leaving.contains(upstream), g.unwritten()
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
