package ingress

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/link"
	"eiderfold/result"
	"eiderfold/route"
)

const (
	// acceptTime is how long a gate may take to answer an offer. Between data
	// centres a round trip is 3 ms; a lost packet is sent again after 200 ms.
	acceptTime = 120 * time.Millisecond
	// mostOffers is how many gates may have an offer of one request at a time.
	mostOffers = 3
	// A retryable request is sent a second time after hedgeFactor times what all
	// but a twentieth of the route's answers take: one in fifty by chance.
	hedgeFactor = 1.4
	// roundPause is the pause after all gates refused, doubled up to roundMost.
	roundPause = 20 * time.Millisecond
	roundMost  = 160 * time.Millisecond
	// waitShare of the route's target is how long a request is kept that no gate
	// takes: a caller that comes back may find another node that can.
	waitShare = 0.25
	waitLeast = 60 * time.Millisecond
	// waitRanShare is the same for one that ran already and failed: its caller
	// cannot be told that it did not.
	waitRanShare = 1.0
	// lateGrace is how long after the deadline an answer is awaited that the
	// upstream was told to give by then.
	lateGrace = 250 * time.Millisecond
	// rejoinTime is how long a committed request waits for a broken link.
	rejoinTime = 3 * time.Second
	// farShareOfAim of the route's aim is how long a queue in the own data centre is
	// preferred to a free slot in another: bytes between data centres are dear, and
	// an answer that is in time is worth no more for being early.
	farShareOfAim = 0.15
	// hedgeReserve is the part of the repeat budget that hedges leave alone.
	hedgeReserve = 0.5
	// backLater is when a refused caller is told to come back.
	backLater = 100 * time.Millisecond
)

// Causes of a repeat, as counted.
const (
	causeHedge   = "hedge"
	causeError   = "after_error"
	causeFailure = "after_failure"
)

type offerState uint8

const (
	offered offerState = iota
	waiting
	running
	doubtful // Committed, and the link broke.
)

// offer is one gate's part in a request.
type offer struct {
	target  *Target
	process uint64
	key     link.Key
	state   offerState
	direct  bool      // It carried the content and may start without a commit.
	heard   bool      // The gate has answered it.
	accept  time.Time // When silence makes the gate suspect.
	started time.Time
	hedge   time.Time // When a second one may be sent.
	rejoin  time.Time // When a doubtful one is given up.
}

// event is a gate's message about an offer, or a change of the way to it.
type event struct {
	frame  *link.Frame
	key    uint64
	lost   bool
	target *Target // Of a lost way, or of one that is back.
}

// flight is one request on its way.
type flight struct {
	forwarder *Forwarder
	route     *route.Route
	service   string
	attempt   string
	content   *link.Content
	usual     *core.Usual // How long the route's answers take.
	began     time.Time
	deadline  time.Time
	events    chan event
	offers    []*offer
	tried     []*Target
	made      int // Offers made, in all rounds.
	runs      int // Commits that may have run.
	arrivals  int // Times it reached an upstream, refused ones too.
	token     bool
	far       bool      // It was offered to another data centre for waiting too long.
	round     time.Time // When a new round of offers may begin.
	pause     time.Duration
	last      link.Reason
	fallback  *Response // What is answered unless a repeat does better.
	gates     []string  // Where it was committed, for the log.
	committed time.Time // When it first was.
	cause     string    // Why it would be sent again.
	doubt     string    // Why an attempt's outcome is unknown.
}

// run sees the request to its answer; nil if the caller has left.
func (f *flight) run(ctx context.Context) *Response {
	defer f.withdrawAll()
	f.next(time.Now())
	timer := time.NewTimer(time.Until(f.wake()))
	defer timer.Stop()
	for {
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
}

// next offers the request to another gate.
func (f *flight) next(now time.Time) {
	if f.arrivals > 0 && !f.token {
		if !f.forwarder.budget.Take(f.service, now, f.reserve()) {
			f.forwarder.count("no_budget_" + f.cause)
			return
		}
		f.token = true
		f.forwarder.count("repeat_" + f.cause)
	}
	c := f.forwarder.targets.choose(f.want(now), now)
	if c.target == nil {
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
		trials:    f.runs+1 < f.route.Attempts && f.forwarder.budget.Has(f.service, now, trialReserve),
		priority:  f.route.Priority,
		nearOnly:  len(f.offers) > 0 && !f.busy() && now.Before(f.began.Add(f.farAfter())),
		tried:     f.tried,
	}
}

// farAfter is how long a request that waits in a queue of its own data centre is
// not offered elsewhere.
func (f *flight) farAfter() time.Duration {
	return time.Duration(farShareOfAim * float64(f.route.Target))
}

// reserve is the part of the budget that is kept for others: a hedge is a guess,
// and a failure is not.
func (f *flight) reserve() float64 {
	if f.cause == causeHedge {
		return hedgeReserve
	}
	return 0
}

// nextRound lets all gates be asked again after a pause.
func (f *flight) nextRound(now time.Time) {
	if len(f.offers) > 0 || now.Before(f.round) {
		return
	}
	f.pause = min(max(roundPause, 2*f.pause), roundMost)
	f.round = now.Add(f.pause)
	f.tried = nil
}

func (f *flight) send(c choice, now time.Time) {
	w := c.target.way.Load()
	f.tried = append(f.tried, c.target)
	if w == nil {
		f.nextRound(now)
		return
	}
	o := &offer{target: c.target, process: w.process, key: f.forwarder.key(), accept: now.Add(acceptTime)}
	message := &link.Offer{
		Key:           o.key,
		Attempt:       f.attempt,
		Service:       f.service,
		Upstream:      c.target.Status().Upstream,
		CallerService: f.forwarder.service,
		Left:          f.deadline.Sub(now),
		Priority:      f.route.Priority,
		Retryable:     f.route.Retryable,
		Force:         c.force,
		Aim:           max(f.began.Add(f.route.Target).Sub(now), 0),
	}
	if f.route.Retryable && f.made == 0 {
		message.Content = f.content
		o.direct = true
		f.count(o, now)
	}
	f.made++
	f.offers = append(f.offers, o)
	c.target.inFlight.Add(1)
	f.forwarder.register(o.key, f)
	if !w.sink.Send(&link.Frame{Offer: message}) {
		f.refused(o, link.ReasonNotConnected, now)
	}
}

// count takes note that an offer may run from now on.
func (f *flight) count(o *offer, now time.Time) {
	f.runs++
	f.arrivals++
	f.gates = append(f.gates, o.target.member.Name)
	if f.committed.IsZero() {
		f.committed = now
	}
	o.started = now
	f.token = false
	o.hedge = now.Add(time.Duration(hedgeFactor * float64(f.usual.Cut())))
}

// uncount takes note that it did not run after all.
func (f *flight) uncount(o *offer, reached bool) {
	f.runs--
	if !reached {
		f.arrivals--
	}
	o.direct = false
}

func (f *flight) find(key uint64) *offer {
	for _, o := range f.offers {
		if o.key.Number == key {
			return o
		}
	}
	return nil
}

// on takes an event and returns the final answer, if that is what it brings.
func (f *flight) on(e event, now time.Time) *Response {
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
		o.target.refuse(e.frame.Refused, f.route.Priority, now)
		return f.refused(o, e.frame.Refused.Reason, now)
	case e.frame.Answer != nil:
		return f.answered(o, e.frame.Answer, now)
	case e.frame.Failed != nil:
		return f.failed(o, e.frame.Failed.Detail, now)
	}
	return nil
}

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

func (f *flight) commit(o *offer, now time.Time) {
	o.state = running
	f.count(o, now)
	f.withdrawOthers()
	left := f.deadline.Sub(now)
	if !o.target.send(&link.Frame{Commit: &link.Commit{Key: o.key, Left: left, Content: f.content}}) {
		f.broken(o, now)
	}
}

// busy tells whether an attempt may be running.
func (f *flight) busy() bool {
	for _, o := range f.offers {
		if o.state == running || o.state == doubtful || o.direct {
			return true
		}
	}
	return false
}

func (f *flight) mayHedge(now time.Time) bool {
	if !f.route.Retryable || f.runs >= f.route.Attempts {
		return false
	}
	for _, o := range f.offers {
		if (o.state == running || o.direct) && now.Before(o.hedge) && o.heard {
			return false
		}
	}
	return true
}

func (f *flight) queued(o *offer, now time.Time) {
	if o.direct {
		f.uncount(o, false)
	}
	o.state = waiting
	if len(f.offers) < mostOffers && !f.busy() {
		f.next(now)
	}
}

// refused takes an offer out that has not run.
func (f *flight) refused(o *offer, reason link.Reason, now time.Time) *Response {
	if o.state == running || o.direct || o.state == doubtful {
		f.uncount(o, reason == link.ReasonShed || reason == link.ReasonMisdirected)
	}
	f.forget(o)
	if len(f.offers) > 0 {
		return nil
	}
	return f.again(now)
}

// again tries the next gate, or ends the request when that is of no use.
func (f *flight) again(now time.Time) *Response {
	if len(f.offers) == 0 {
		f.next(now)
	}
	if len(f.offers) > 0 || !f.round.Before(now) && !f.hopeless(now) {
		return nil
	}
	return f.final(now)
}

// hopeless tells whether waiting for another round has gone on for long enough.
func (f *flight) hopeless(now time.Time) bool {
	if f.arrivals > 0 && !f.token {
		return true // No budget to send it again.
	}
	share := waitShare
	if f.runs > 0 {
		share = waitRanShare
	}
	patience := max(time.Duration(share*float64(f.route.Target)), waitLeast)
	return now.Sub(f.began) > patience
}

func (f *flight) answered(o *offer, a *link.Answer, now time.Time) *Response {
	f.forget(o)
	r := &Response{Status: a.Status, Header: a.Header, Body: a.Body}
	if a.Status < http.StatusInternalServerError {
		f.usual.Add(now.Sub(o.started))
		return r
	}
	f.fallback = r
	f.cause = causeError
	if !f.mayRepeat(now) {
		return f.onlyIfAlone(r)
	}
	return f.again(now)
}

// onlyIfAlone returns an answer unless another attempt may bring a better one.
func (f *flight) onlyIfAlone(r *Response) *Response {
	if f.busy() {
		return nil
	}
	return r
}

func (f *flight) mayRepeat(now time.Time) bool {
	return f.route.Retryable && f.runs < f.route.Attempts && now.Before(f.deadline)
}

func (f *flight) failed(o *offer, detail string, now time.Time) *Response {
	f.forget(o)
	f.doubt = detail
	f.cause = causeFailure
	if !f.mayRepeat(now) {
		if f.busy() {
			return nil
		}
		return f.final(now)
	}
	return f.again(now)
}

// broken takes note that the way to a committed offer's gate is gone.
func (f *flight) broken(o *offer, now time.Time) *Response {
	switch {
	case o.state == doubtful:
		return nil // It is asked for when the next way is there.
	case o.state != running && !o.direct:
		return f.refused(o, link.ReasonNotConnected, now)
	case f.route.Retryable:
		return f.failed(o, "the link to "+o.target.member.Name+" broke", now)
	default:
		o.state = doubtful
		o.rejoin = now.Add(rejoinTime)
		return nil
	}
}

// wayChanged handles a link that was lost or is back.
func (f *flight) wayChanged(e event, now time.Time) *Response {
	var r *Response
	for _, o := range append([]*offer(nil), f.offers...) {
		if o.target != e.target || r != nil {
			continue
		}
		if e.lost {
			r = f.broken(o, now)
			continue
		}
		r = f.rejoin(o, now)
	}
	return r
}

func (f *flight) rejoin(o *offer, now time.Time) *Response {
	w := o.target.way.Load()
	if o.state != doubtful || w == nil {
		return nil
	}
	if w.process != o.process {
		return f.failed(o, o.target.member.Name+" has been restarted", now)
	}
	w.sink.Send(&link.Frame{Ask: &link.Ask{Key: o.key}})
	return nil
}

// tick does what is due.
func (f *flight) tick(now time.Time) *Response {
	if !now.Before(f.limit()) {
		return f.final(now)
	}
	for _, o := range append([]*offer(nil), f.offers...) {
		if r := f.overdue(o, now); r != nil {
			return r
		}
	}
	if len(f.offers) == 0 && !now.Before(f.round) {
		return f.again(now)
	}
	if f.queuedNear(now) {
		f.far = true
		f.next(now)
	}
	return nil
}

// queuedNear tells whether the request has waited in its data centre for long
// enough to be offered elsewhere.
func (f *flight) queuedNear(now time.Time) bool {
	return !f.far && f.onlyWaiting() && !now.Before(f.began.Add(f.farAfter()))
}

// onlyWaiting tells whether all offers wait in queues.
func (f *flight) onlyWaiting() bool {
	for _, o := range f.offers {
		if o.state != waiting {
			return false
		}
	}
	return len(f.offers) > 0
}

func (f *flight) overdue(o *offer, now time.Time) *Response {
	switch {
	case !o.heard && !o.accept.IsZero() && !now.Before(o.accept) && o.state != running:
		o.accept = time.Time{}
		o.target.suspect(now)
		f.forwarder.log.Info("gate silent", zap.String("attempt", f.attempt), zap.String("node", o.target.member.Name), zap.Bool("may_run", o.direct))
		if !o.direct {
			o.target.send(&link.Frame{Withdraw: &link.Withdraw{Key: o.key}})
			return f.refused(o, link.ReasonNotConnected, now)
		}
		f.hedge(now)
	case o.state == doubtful && !now.Before(o.rejoin):
		return f.failed(o, "the link to "+o.target.member.Name+" did not come back", now)
	case (o.state == running || o.direct) && !o.hedge.IsZero() && !now.Before(o.hedge):
		o.hedge = time.Time{}
		f.hedge(now)
	}
	return nil
}

// hedge offers a slow retryable request to a second gate.
func (f *flight) hedge(now time.Time) {
	if f.mayRepeat(now) && len(f.offers) < mostOffers {
		f.cause = causeHedge
		f.next(now)
	}
}

// limit is when the request must have its answer.
func (f *flight) limit() time.Time {
	if f.busy() {
		return f.deadline.Add(lateGrace)
	}
	return f.deadline
}

// wake is when the next thing is due.
func (f *flight) wake() time.Time {
	at := f.limit()
	sooner := func(t time.Time) {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	for _, o := range f.offers {
		if !o.heard && o.state != running {
			sooner(o.accept)
		}
		if o.state == doubtful {
			sooner(o.rejoin)
		}
		if o.state == running || o.direct {
			sooner(o.hedge)
		}
	}
	if len(f.offers) == 0 {
		sooner(f.round)
	}
	if !f.far && f.onlyWaiting() {
		sooner(f.began.Add(f.farAfter()))
	}
	return at
}

// final is the answer when no further attempt is made.
func (f *flight) final(now time.Time) *Response {
	switch {
	case f.fallback != nil:
		return f.fallback
	case f.runs > 0 && !now.Before(f.deadline):
		return refusal(result.New(result.AnswerLate, f.doubt))
	case f.runs > 0:
		return refusal(result.New(result.OutcomeUnknown, f.doubt))
	case len(f.forwarder.targets.Of(f.service)) == 0:
		return refusal(result.New(result.NoUpstream, f.service).WithRetryAfter(backLater))
	case f.last == link.ReasonShed:
		return refusal(result.New(result.UpstreamShed, f.service).WithRetryAfter(backLater))
	default:
		return refusal(result.New(result.Overloaded, f.last.String()).WithRetryAfter(backLater))
	}
}

func (f *flight) forget(o *offer) {
	for i, p := range f.offers {
		if p == o {
			f.offers = append(f.offers[:i], f.offers[i+1:]...)
			break
		}
	}
	o.target.inFlight.Add(-1)
	f.forwarder.unregister(o.key)
}

func (f *flight) withdraw(o *offer) {
	o.target.send(&link.Frame{Withdraw: &link.Withdraw{Key: o.key}})
	f.forget(o)
}

// withdrawOthers gives up what was offered and does not run.
func (f *flight) withdrawOthers() {
	for _, o := range append([]*offer(nil), f.offers...) {
		if o.state != running && o.state != doubtful && !o.direct {
			f.withdraw(o)
		}
	}
}

func (f *flight) withdrawAll() {
	for _, o := range append([]*offer(nil), f.offers...) {
		f.withdraw(o)
	}
}
