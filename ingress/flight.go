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

// event is a gate's message about an offer, or a change of the way to it.
type event struct {
	frame  *link.Frame
	key    uint64
	lost   bool
	target *Target // Of a lost way, or of one that is back.
	finish bool    // The node ends: the request is to be answered with what is known.
}

// flight is one request on its way.
type flight struct {
	forwarder *Forwarder
	route     *route.Route
	service   string
	account   *route.Account // For which it is made; nil without one.
	regions   route.Regions  // Where it may run.
	attempt   string
	content   *link.Content
	usual     *core.Usual // How long the route's answers take.
	began     time.Time
	deadline  time.Time
	terms     overload.Terms
	crowded   func() bool // No slot is free beside this node.
	events    chan event
	offers    []*offer
	tried     []*Target
	made      int                // Offers made, in all rounds.
	runs      int                // Commits that may have run.
	arrivals  int                // Times it reached an upstream, refused ones too.
	ofRepeat  bool               // It is the call of a run that repeats another.
	denied    int                // Gates that had no budget for the repeat that is wanted now.
	far       bool               // It was offered to another data centre for waiting too long.
	round     time.Time          // When a new round of offers may begin.
	pause     time.Duration      // Before the latest round.
	last      link.Reason        // Of the latest refusal.
	soonest   time.Duration      // The shortest wait that a gate told which refused it, 0 for none.
	fallback  *Response          // What is answered unless a repeat does better.
	ended     *Response          // The final answer, where sending brought it about.
	gates     []string           // Where it was committed, for the log.
	committed time.Time          // When it first was.
	cause     string             // Why it would be sent again.
	doubt     string             // Why an attempt's outcome is unknown.
	record    *quarantine.Record // What is known of it, if an upstream ended under it.
	held      time.Duration      // How much longer it is kept from upstreams, 0 if it is not.
}

// run sees the request to its answer; nil if the caller has left.
func (f *flight) run(ctx context.Context) *Response {
	defer f.withdrawAll()
	f.next(time.Now())
	timer := time.NewTimer(time.Until(f.wake()))
	defer timer.Stop()
	for f.ended == nil {
		var r *Response
		select {
		case e := <-f.events:
			r = f.on(e, time.Now())
		case <-timer.C:
			r = f.tick(time.Now())
		case <-ctx.Done():
			return nil
		}
		if r != nil {
			return r
		}
		timer.Reset(time.Until(f.wake()))
	}
	return f.ended
}

// next offers the request to another gate.
func (f *flight) next(now time.Time) {
	if f.denied >= mostDenied {
		return
	}
	c := f.forwarder.targets.choose(f.want(now), now)
	switch {
	case c.nowhere && f.arrivals == 0 && len(f.offers) == 0:
		// To wait for a round would only keep its caller from what may still serve it.
		f.end(refusal(result.New(result.NoUpstream, f.service).WithRetryAfter(f.comeBack())))
		return
	case c.target == nil:
		f.nextRound(now)
		return
	}
	f.send(c, now)
}

// want says what is needed of the next gate.
func (f *flight) want(now time.Time) want {
	return want{
		service:   f.service,
		retryable: f.route.Retryable,
		trials:    f.runs+1 < f.route.Attempts && !f.forwarder.targets.spent(f.service, now),
		priority:  f.terms.Priority(),
		nearOnly:  len(f.offers) > 0 && !f.busy() && now.Before(f.began.Add(f.farAfter())) && f.forwarder.targets.switches.On(switches.Near),
		tried:     f.tried,
		regions:   f.regions,
	}
}

// on takes an event and returns the final answer, if that is what it brings.
func (f *flight) on(e event, now time.Time) *Response {
	if e.finish {
		return f.final(now)
	}
	if e.target != nil {
		return f.wayChanged(e, now)
	}
	o := f.find(e.key)
	if o == nil {
		return nil
	}
	o.heard = true
	switch {
	case e.frame.Granted != nil:
		f.granted(o, e.frame.Granted.Started, now)
	case e.frame.Queued != nil:
		f.queued(o, now)
	case e.frame.Refused != nil:
		f.last = e.frame.Refused.Reason
		f.noteBudget(now)
		f.noteWait(e.frame.Refused.After)
		o.target.refuse(e.frame.Refused, f.terms.Priority(), now)
		return f.refused(o, e.frame.Refused, now)
	case e.frame.Answer != nil:
		return f.answered(o, e.frame.Answer, now)
	case e.frame.Silent != nil:
		f.silent(o, now)
	case e.frame.Failed != nil:
		return f.failed(o, e.frame.Failed, now)
	}
	return nil
}

// granted commits the request to the gate, unless an attempt runs that is not yet
// slow.
func (f *flight) granted(o *offer, started bool, now time.Time) {
	switch {
	case o.state == running || o.state == doubtful:
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

// commit lets a granted offer run, and gives the others up.
func (f *flight) commit(o *offer, now time.Time) {
	o.state = running
	repeat := f.repeats()
	if f.arrivals > 0 {
		f.forwarder.count("repeat_" + f.cause)
	}
	f.count(o, now)
	f.withdrawOthers()
	left := f.deadline.Sub(now)
	if !o.target.send(&link.Frame{Commit: &link.Commit{Key: o.key, Left: left, Content: f.content, Repeat: repeat}}) {
		f.end(f.broken(o, now))
	}
}

// repeats tells whether a run that begins now repeats another, or belongs to one
// that does: what it calls in turn counts as repeated.
func (f *flight) repeats() bool { return f.arrivals > 0 || f.ofRepeat }

// end takes a final answer that came of sending, for run to return.
func (f *flight) end(r *Response) {
	if r != nil {
		f.ended = r
	}
}

// queued asks a further gate while the request waits at this one.
func (f *flight) queued(o *offer, now time.Time) {
	if o.direct {
		f.uncount(o, false)
	}
	o.state = waiting
	if len(f.offers) < mostOffers && !f.busy() {
		f.next(now)
	}
}
