package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
	"eiderfold/quarantine"
	"eiderfold/switches"
)

// deadlineMargin is how long before a deadline an upstream may answer that it has
// passed: both are told in whole milliseconds, and timers are not exact.
const deadlineMargin = 20 * time.Millisecond

// call is an offer in hand, with what is needed to run and answer it.
type call struct {
	offer    *link.Offer
	sink     Sink
	deadline time.Time
	aim      time.Time
	cancel   context.CancelFunc // Set while it runs.
	repeat   bool               // The run repeats another.
}

// print names the request, whatever its attempts are called.
func (c *call) print() quarantine.Print {
	r := c.offer.Content
	return quarantine.PrintOf(r.Method, r.Host, r.Target, c.offer.Account, r.Body)
}

// start runs an offer in the background, with the lock held.
func (g *Gate) start(k link.Key) {
	c := g.calls[k]
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline.Add(answerGrace))
	c.cancel = cancel
	if c.offer.Content != nil && c.offer.Retryable {
		g.answer(k, &link.Frame{Granted: &link.Granted{Key: k, Started: true}})
	}
	go g.run(ctx, c, g.admission.upstream)
}

// run sends the request to the upstream and reports how it ended.
func (g *Gate) run(ctx context.Context, c *call, upstream port.Incarnation) {
	defer c.cancel()
	began := time.Now()
	terms := port.OutgoingTerms{Left: c.deadline.Sub(began), Upstream: upstream.ID, CallerService: c.offer.CallerService, Account: c.offer.Account}
	a, f := g.client.do(ctx, c.offer.Content, terms, !c.offer.Retryable)
	took := time.Since(began)
	if f != nil && f.cut {
		f.processEnded = g.client.processEnded(ctx)
	}
	frame, outcome := g.result(c, a, f)
	g.noteRequest(c, frame, outcome, upstream, began, f)
	if outcome == Erred && g.switches.On(switches.OwnCalls) && g.excused(began, time.Now()) {
		outcome = CallFailed
	}
	g.log.Debug("attempt ended", zap.String("attempt", c.offer.Attempt), zap.Stringer("upstream", upstream),
		zap.String("outcome", outcome.String()), zap.Duration("took", took))
	if outcome != Good {
		g.explain(c, f, upstream, outcome, took, a)
	}
	g.observe("upstream_answer", took)
	g.finish(c, frame)
	g.update(Ended{At: time.Now(), Key: c.offer.Key, Outcome: outcome, Took: took})
}

// noteRequest takes note of what the attempt says of its request, whatever it says of the
// upstream: one that ends each upstream would otherwise do so whenever it is sent again.
func (g *Gate) noteRequest(c *call, frame *link.Frame, outcome Outcome, upstream port.Incarnation, began time.Time, f *failure) {
	switch {
	case outcome == Good:
		g.noteAlive()
		g.book.Answered(time.Now(), c.print)
	case outcome == Replaced:
		g.blameAbandoned(upstream)
	case f != nil && f.processEnded:
		g.blameAbandoned(upstream)
		if frame.Failed != nil {
			g.count("upstream_ended_under_attempt")
			record := g.book.Ended(time.Now(), c.print(), upstream.String(), began)
			frame.Failed.Record = &record
		}
	case outcome == NoEvidence && frame.Failed != nil:
		g.abandoned.note(abandoned{print: c.print(), upstream: upstream, began: began, at: time.Now()})
	}
}

// explain logs why an attempt brought no good answer.
func (g *Gate) explain(c *call, f *failure, upstream port.Incarnation, o Outcome, took time.Duration, a *answer) {
	fields := []zap.Field{zap.String("attempt", c.offer.Attempt), zap.Stringer("key", c.offer.Key), zap.Stringer("upstream", upstream),
		zap.String("outcome", o.String()), zap.Duration("took", took), zap.Duration("left", time.Until(c.deadline))}
	if f != nil {
		fields = append(fields, zap.String("detail", f.detail), zap.Bool("process_ended", f.processEnded))
	}
	if c.offer.Content != nil {
		fields = append(fields, zap.Stringer("request", c.print()))
	}
	if a != nil {
		fields = append(fields, zap.Int("status", a.status))
	}
	g.log.Info("attempt without a good answer", fields...)
}

// result turns the upstream's answer into the message for the ingress.
func (g *Gate) result(c *call, a *answer, f *failure) (*link.Frame, Outcome) {
	k := c.offer.Key
	switch {
	case f != nil && f.reason != link.ReasonNone:
		return &link.Frame{Refused: &link.Refused{Key: k, Reason: f.reason}}, f.outcome
	case f != nil:
		return &link.Frame{Failed: &link.Failed{Key: k, Detail: f.detail}}, f.outcome
	}
	outcome := Good
	if a.status >= 500 {
		outcome = Erred
		if time.Until(c.deadline) < deadlineMargin {
			outcome = NoEvidence // It answers because time is up.
		}
	}
	return &link.Frame{Answer: &link.Answer{Key: k, Status: a.status, Header: a.header, Body: a.body}}, outcome
}

// finish sends the end of an attempt, and keeps it if it may be asked for.
func (g *Gate) finish(c *call, frame *link.Frame) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c.offer.Key)
	if !c.offer.Retryable {
		g.ended[c.offer.Key] = ended{frame: frame, expires: time.Now().Add(keptAnswers)}
	}
	if frame.Answer != nil {
		frame.Answer.Usual = g.admission.usual
	}
	c.sink.Send(frame)
}
