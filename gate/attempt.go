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

// deadlineMargin is how long before the deadline an upstream may already answer that it has
// passed: deadlines travel in whole milliseconds, and timers are not exact.
const deadlineMargin = 20 * time.Millisecond

// activeOffer is an offer that was neither refused nor finished, with what is needed to run it
// and to answer it.
type activeOffer struct {
	offer    *link.Offer
	sink     Sink
	deadline time.Time
	target   time.Time
	cancel   context.CancelFunc // Set while it runs.
	repeat   bool               // The run repeats another.
	written  time.Time          // When the write to the upstream began.
}

// fingerprint returns the request's fingerprint, which is the same for all of its attempts.
func (ao *activeOffer) fingerprint() quarantine.Fingerprint {
	r := ao.offer.Content
	return quarantine.FingerprintOf(r.Method, r.Host, r.Target, ao.offer.Account, r.Body)
}

// start runs an offer in the background. The caller holds the lock.
func (g *Gate) start(at time.Time, k link.Key) {
	ao := g.active[k]
	ctx, cancel := context.WithDeadline(context.Background(), ao.deadline.Add(answerGrace))
	ao.cancel = cancel
	if ao.offer.Content != nil && ao.offer.Retryable {
		g.answer(k, &link.Frame{Granted: &link.Granted{Key: k, Started: true, Room: g.admission.Room(at)}})
	}
	go g.run(ctx, ao, g.admission.upstream)
}

// run sends the request to the upstream and reports the outcome.
func (g *Gate) run(ctx context.Context, ao *activeOffer, upstream port.Incarnation) {
	defer ao.cancel()
	started := time.Now()
	outgoing := port.OutgoingMetadata{TimeLeft: ao.deadline.Sub(started), Upstream: upstream.ID, CallerService: ao.offer.CallerService, Account: ao.offer.Account}
	a, f := g.client.do(ctx, ao.offer.Content, outgoing, !ao.offer.Retryable, &attemptGuard{gate: g, attempt: ao, upstream: upstream})
	took := time.Since(started)
	if f != nil && f.closedByPeer {
		f.processEnded = g.client.processEnded(ctx)
	}
	g.noteStatement(upstream, a, f)
	frame, outcome := g.result(ao, a, f)
	g.updateQuarantine(ao, frame, outcome, upstream, started, f)
	if outcome == Erred && g.switches.On(switches.NestedRequests) && g.nestedRequestFailed(started, time.Now()) {
		outcome = NestedFailed
		frame.Answer.BudgetSpent = g.budgetSpent(ao.offer.Attempt)
	}
	g.log.Debug("attempt ended", zap.String("attempt", ao.offer.Attempt), zap.Stringer("upstream", upstream),
		zap.String("outcome", outcome.String()), zap.Duration("took", took))
	if outcome != Good {
		g.logFailure(ao, f, upstream, outcome, took, a)
	}
	g.logLeavingUpstream(ao, upstream, started, outcome)
	g.observe("upstream_answer", took)
	g.finish(ao, frame)
	ended := Ended{At: time.Now(), Key: ao.offer.Key, Outcome: outcome, Took: took, Unwritten: ao.written.IsZero()}
	if f != nil {
		ended.Holder = f.holder
	}
	g.update(ended)
}

// updateQuarantine reports the attempt's outcome to the quarantine tracker, even if it is no
// evidence on the upstream's health. Otherwise a request that crashes upstreams would crash
// another one each time it is sent again.
func (g *Gate) updateQuarantine(ao *activeOffer, frame *link.Frame, outcome Outcome, upstream port.Incarnation, started time.Time, f *failure) {
	switch {
	case outcome == Good:
		g.markActive()
		g.tracker.Answered(time.Now(), ao.fingerprint)
	case outcome == Replaced:
		g.attributeCrash(upstream)
	case f != nil && f.processEnded:
		g.attributeCrash(upstream)
		if frame.Failed != nil {
			g.count("upstream_ended_under_attempt")
			record := g.tracker.Crashed(time.Now(), ao.fingerprint(), upstream.String(), started)
			frame.Failed.Record = &record
		}
	case outcome == NoEvidence && frame.Failed != nil:
		g.abandoned.add(abandonedAttempt{fingerprint: ao.fingerprint(), upstream: upstream, started: started, at: time.Now()})
	}
}

// logFailure logs why an attempt got no good answer.
func (g *Gate) logFailure(ao *activeOffer, f *failure, upstream port.Incarnation, o Outcome, took time.Duration, a *answer) {
	fields := []zap.Field{zap.String("attempt", ao.offer.Attempt), zap.Stringer("key", ao.offer.Key), zap.Stringer("upstream", upstream),
		zap.String("outcome", o.String()), zap.Duration("took", took), zap.Duration("left", time.Until(ao.deadline))}
	if f != nil {
		fields = append(fields, zap.String("detail", f.detail), zap.Bool("process_ended", f.processEnded))
	}
	if ao.offer.Content != nil {
		fields = append(fields, zap.Stringer("request", ao.fingerprint()))
	}
	if a != nil {
		fields = append(fields, zap.Int("status", a.status))
	}
	g.log.Info("attempt without a good answer", fields...)
}

// result converts the upstream's answer or a failure into the frame for the ingress.
func (g *Gate) result(ao *activeOffer, a *answer, f *failure) (*link.Frame, Outcome) {
	k := ao.offer.Key
	switch {
	case f != nil && f.reason != link.ReasonNone:
		return &link.Frame{Refused: &link.Refused{Key: k, Reason: f.reason, RetryAfter: f.retryAfter}}, f.outcome
	case f != nil:
		return &link.Frame{Failed: &link.Failed{Key: k, Detail: f.detail}}, f.outcome
	}
	outcome := Good
	if a.status >= 500 {
		outcome = Erred
		if time.Until(ao.deadline) < deadlineMargin {
			outcome = NoEvidence // The upstream reports that the deadline has passed.
		}
	}
	return &link.Frame{Answer: &link.Answer{Key: k, Status: a.status, Header: a.header, Body: a.body}}, outcome
}

// finish sends the result of an attempt. If the request is not retryable, it keeps the result
// for an OutcomeQuery.
func (g *Gate) finish(ao *activeOffer, frame *link.Frame) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, ao.offer.Key)
	if ao.written.IsZero() && !ao.offer.AttemptKind.NeedsBudget() {
		g.count("first_not_written")
	}
	if !ao.offer.Retryable {
		g.ended.put(ao.offer.Key, frame, time.Now())
	}
	room := g.admission.roomAfter(time.Now(), 1)
	switch {
	case frame.Answer != nil:
		frame.Answer.MeanResponseTime = g.admission.meanResponseTime
		frame.Answer.Room = room
	case frame.Refused != nil:
		frame.Refused.Room = room
	}
	ao.sink.Send(frame)
}
