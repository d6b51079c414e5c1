package ingress

import (
	"context"
	"time"

	"eiderfold/core"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/quarantine"
	"eiderfold/result"
	"eiderfold/route"
	"eiderfold/switches"
)

// event is a gate's message about an offer or a change of the link to a gate.
type event struct {
	frame    *link.Frame
	key      uint64
	lost     bool
	endpoint *Endpoint // Endpoint whose link was lost or is back.
}

// refusals are the refusals of a request by gates.
type refusals struct {
	budgetDenials  int           // Gates that had no budget for the current repeat.
	nestedRefusals int           // Gates that saw no room for its nested requests, since it last started.
	lastRefusal    link.Reason   // Reason of the latest refusal.
	minRetryAfter  time.Duration // Shortest retry-after of a refusing gate, 0 for none.
}

// repeatState is what a request's repeats depend on.
type repeatState struct {
	repeatCause string    // Why it is repeated.
	inRepeat    bool      // Nested in a repeated attempt.
	budgetSpent bool      // A nested request of an attempt found no budget left.
	refuseAt    time.Time // When it is refused if it was shed and has not run; the zero time for never.
}

// inFlightRequest is a request that has no final answer yet.
type inFlightRequest struct {
	refusals
	repeatState
	forwarder      *Forwarder
	route          *route.Route
	service        string
	account        *route.Account // Of the caller, nil without one.
	regions        route.Regions  // Where it may run.
	share          share
	attempt        string
	content        *link.Content
	latency        *core.LatencyPercentile // Of the route.
	arrived        time.Time
	deadline       time.Time
	requirements   overload.Requirements
	saturated      func() bool // Reports whether the upstream beside this node has no free slot.
	events         *eventQueue
	offers         []*offer
	tried          []*Endpoint
	offersMade     int                // Offers made, in all rounds.
	runs           int                // Attempts that may have run.
	deliveries     int                // Attempts that may have reached an upstream: runs, and those refused as shed or misdirected.
	parent         string             // The attempt on the upstream beside this node that made it, "" for none.
	far            bool               // Offered to other data centres after a long wait.
	nextRoundAt    time.Time          // When a new round of offers may begin.
	pause          time.Duration      // Pause before the latest round.
	fallback       *Response          // Answer unless a repeat gets a better one.
	finalResponse  *Response          // Final answer, if sending a message ended the request.
	gates          []string           // Where it was committed, for the log.
	committedAt    time.Time          // When it was first committed.
	unknownReason  string             // Why an attempt's outcome is unknown.
	record         *quarantine.Record // Crash record, if an upstream crashed while running it.
	quarantineLeft time.Duration      // Remaining time in quarantine, 0 for none.
}

// run processes the request until its final answer. It returns nil if the caller has left.
func (f *inFlightRequest) run(ctx context.Context) *Response {
	defer f.withdrawAll()
	select {
	case <-f.forwarder.finished:
		return f.final(time.Now())
	default:
	}
	if now := time.Now(); !now.Before(f.deadline) {
		return f.final(now) // It has waited for earlier requests of its connection.
	}
	f.offerNext(time.Now())
	timer := time.NewTimer(time.Until(f.nextWake()))
	defer timer.Stop()
	for f.finalResponse == nil {
		var r *Response
		select {
		case <-f.events.ready:
			r = f.handleQueued(time.Now())
		case <-timer.C:
			r = f.tick(time.Now())
		case <-f.forwarder.finished:
			return f.finish(time.Now())
		case <-ctx.Done():
			return nil
		}
		if r != nil {
			return r
		}
		timer.Reset(time.Until(f.nextWake()))
	}
	return f.finalResponse
}

// handleQueued handles the queued events. It returns the final answer, if there is one.
func (f *inFlightRequest) handleQueued(now time.Time) *Response {
	for _, e := range f.events.take() {
		if r := f.handle(e, now); r != nil || f.finalResponse != nil {
			return r
		}
	}
	return nil
}

// finish returns the answer of a request that is in flight when the node shuts down: the one that has just arrived, or
// what is known of its outcome. It starts no further attempt.
func (f *inFlightRequest) finish(now time.Time) *Response {
	for _, e := range f.events.take() {
		if e.frame != nil && e.frame.Granted != nil && !e.frame.Granted.Started {
			continue
		}
		if r := f.handle(e, now); r != nil {
			return r
		}
	}
	return f.final(now)
}

// offerNext offers the request to another gate.
func (f *inFlightRequest) offerNext(now time.Time) {
	if f.budgetDenied() || f.lacksNestedRoom() {
		return
	}
	c := f.forwarder.endpoints.choose(f.criteria(now), now)
	switch {
	case c.noneEligible && f.deliveries == 0 && len(f.offers) == 0:
		// Waiting for another round would only delay the caller's retry elsewhere.
		f.end(refusal(result.New(result.NoUpstream, f.service).WithRetryAfter(f.retryAfter())))
		return
	case len(f.offers) == 0 && f.isTooLate(c.room, now):
		f.lastRefusal = link.ReasonLimited
		f.noteRetryAfter(c.room.Sub(now))
		f.end(f.final(now))
		return
	case c.endpoint == nil:
		f.nextRound(now)
		return
	}
	f.send(c, now)
}

// isTooLate reports whether the request should not wait until the limits of upstreams have room.
func (f *inFlightRequest) isTooLate(room, now time.Time) bool {
	return room.After(f.requirements.AwaitRoomUntil(now, f.runs > 0, f.saturated()))
}

// nearOnly reports whether the next gate has to be in the own data centre: while the request only waits
// in queues, and not for long yet.
func (f *inFlightRequest) nearOnly(now time.Time) bool {
	waits := len(f.offers) > 0 && !f.busy()
	return waits && now.Before(f.arrived.Add(f.farAfter())) && f.forwarder.endpoints.switches.On(switches.PreferLocal)
}

// criteria returns what is required of the next gate.
func (f *inFlightRequest) criteria(now time.Time) criteria {
	return criteria{
		service:      f.service,
		retryable:    f.route.Retryable,
		allowTrials:  f.runs+1 < f.route.Attempts && !f.forwarder.endpoints.budgetExhausted(f.service, now),
		priority:     f.requirements.Priority(),
		nearOnly:     f.nearOnly(now),
		tried:        f.tried,
		regions:      f.regions,
		account:      f.share.account,
		nested:       f.parent != "",
		maxLocalWait: f.maxLocalWait(now),
	}
}

// handle processes an event. It returns the final answer, if there is one.
func (f *inFlightRequest) handle(e event, now time.Time) *Response {
	if e.endpoint != nil {
		return f.linkChanged(e, now)
	}
	o := f.find(e.key)
	if o == nil {
		return nil
	}
	o.noteResponded()
	f.noteRoom(o, e.frame, now)
	switch {
	case e.frame.Granted != nil:
		f.granted(o, e.frame.Granted.Started, now)
	case e.frame.Queued != nil:
		f.queued(o, now)
	case e.frame.Refused != nil:
		f.lastRefusal = e.frame.Refused.Reason
		f.noteBudget(now)
		f.noteRetryAfter(e.frame.Refused.RetryAfter)
		f.noteNestedRefusal(e.frame.Refused.RetryAfter)
		o.endpoint.noteRefusal(e.frame.Refused, f.requirements.Priority(), now)
		o.endpoint.noteShareRefusal(e.frame.Refused, f.share.account, now)
		return f.refused(o, e.frame.Refused, now)
	case e.frame.Answer != nil:
		return f.answered(o, e.frame.Answer, now)
	case e.frame.Overdue != nil:
		f.upstreamUnresponsive(o, now)
	case e.frame.Failed != nil:
		return f.failed(o, e.frame.Failed, now)
	}
	return nil
}

// granted commits the request to the gate, unless another attempt runs that is not slow
// yet.
func (f *inFlightRequest) granted(o *offer, started bool, now time.Time) {
	switch {
	case o.state == running || o.state == unconfirmed:
		o.state = running
	case started:
		o.state = running
		f.withdrawOthers()
	case f.busy() && !f.mayHedge(now):
		f.withdraw(o)
	default:
		f.commit(o, now)
	}
}

// commit commits a granted offer and cancels the others.
func (f *inFlightRequest) commit(o *offer, now time.Time) {
	o.state = running
	repeat := f.repeats()
	if f.deliveries > 0 {
		f.forwarder.count("repeat_" + f.repeatCause)
	}
	f.noteRun(o, now)
	f.withdrawOthers()
	left := f.deadline.Sub(now)
	if !o.endpoint.send(&link.Frame{Commit: &link.Commit{Key: o.key, TimeLeft: left, Content: f.content, Repeat: repeat}}) {
		f.end(f.linkBroken(o, now))
	}
}

// repeats reports whether an attempt that starts now is a repeat or nested in a repeated
// attempt. Its own nested requests then count as repeated, too.
func (f *inFlightRequest) repeats() bool { return f.deliveries > 0 || f.inRepeat }

// end stores a final answer that resulted from sending a message, for run to return.
func (f *inFlightRequest) end(r *Response) {
	if r != nil {
		f.finalResponse = r
	}
}

// queued offers the request to another gate while it waits in this one's queue.
func (f *inFlightRequest) queued(o *offer, now time.Time) {
	if o.direct {
		f.undoRun(o, false)
	}
	o.state = waiting
	if len(f.offers) < maxOffers && !f.busy() {
		f.offerNext(now)
	}
}
