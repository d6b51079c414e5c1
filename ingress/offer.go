package ingress

import (
	"cmp"
	"slices"
	"time"

	"eiderfold/link"
	"eiderfold/port"
)

const (
	// offerTimeout is how long a gate may take to respond to an offer. Between data
	// centres a round trip is 3 ms; a lost packet is retransmitted after 200 ms.
	offerTimeout = 120 * time.Millisecond
	// maxOffers is how many gates may have an offer of one request at a time.
	maxOffers = 3
)

type offerState uint8

const (
	offered offerState = iota
	waiting            // In the gate's queue.
	running
	unconfirmed // Committed; outcome unknown because the link broke.
)

// offer is a request's offer to one gate.
type offer struct {
	endpoint  *Endpoint
	process   uint64 // Of the gate; a restarted gate has no record of the offer.
	upstream  port.Incarnation
	key       link.Key
	state     offerState
	direct    bool      // It carried the content and may start without a commit.
	responded bool      // The gate has responded.
	suspectAt time.Time // When the gate becomes suspected unless it responds.
	started   time.Time // When it was committed, or sent with its content.
	hedgeAt   time.Time // When a hedge may be sent.
	abandonAt time.Time // When an unconfirmed offer is abandoned.
}

// send offers the request to the selected gate. The first offer of a retryable request
// carries its content, which saves a round trip if a slot is free.
func (f *inFlightRequest) send(c selection, now time.Time) {
	l := c.endpoint.link.Load()
	f.tried = append(f.tried, c.endpoint)
	if l == nil {
		f.nextRound(now)
		return
	}
	status := c.endpoint.Status()
	o := &offer{endpoint: c.endpoint, process: l.process, upstream: incarnationOf(status), key: f.forwarder.newKey(), suspectAt: now.Add(offerTimeout)}
	message := f.offerMessage(o, c.force, now)
	message.BodyBytes = int64(len(f.content.Body))
	message.Limit = f.forwarder.endpoints.statements.limitFor(status, now)
	if f.route.Retryable && f.offersMade == 0 {
		message.Content = f.content
		o.direct = true
		f.noteRun(o, now)
	}
	switch {
	case c.spilled:
		f.forwarder.count("offer_spilled")
	case c.byRoom:
		f.forwarder.count("offer_by_room")
	}
	f.offersMade++
	f.offers = append(f.offers, o)
	c.endpoint.noteOffered()
	f.forwarder.register(o.key, f)
	if !l.sink.Send(&link.Frame{Offer: message}) {
		f.end(f.refused(o, notConnected, now))
	}
}

// offerMessage returns the message for an offer, without content.
func (f *inFlightRequest) offerMessage(o *offer, force bool, now time.Time) *link.Offer {
	m := &link.Offer{
		Key:           o.key,
		Attempt:       f.attempt,
		Service:       f.service,
		Upstream:      o.upstream.ID,
		CallerService: f.forwarder.service,
		TimeLeft:      f.deadline.Sub(now),
		Priority:      f.requirements.Priority(),
		Retryable:     f.route.Retryable,
		Force:         force,
		Target:        cmp.Or(f.requirements.TargetDeadline().Sub(now), -1),
		Kind:          f.route.Kind(),
		AttemptKind:   f.attemptKind(),
		Account:       f.accountName(),
		Record:        f.record,
		Nested:        f.parent != "",
	}
	f.share.addTo(m)
	return m
}

// noteRun records that an offer may run from now on.
func (f *inFlightRequest) noteRun(o *offer, now time.Time) {
	f.runs++
	f.deliveries++
	f.gates = append(f.gates, o.endpoint.member.Name)
	if f.committedAt.IsZero() {
		f.committedAt = now
	}
	o.started = now
	f.budgetDenials = 0
	f.nestedRefusals = 0
	o.hedgeAt = now.Add(time.Duration(hedgeFactor * float64(f.latency.Threshold())))
}

// undoRun records that an offer has not run after all. reached reports whether the request
// got as far as an upstream.
func (f *inFlightRequest) undoRun(o *offer, reached bool) {
	f.runs--
	if f.gates = f.gates[:len(f.gates)-1]; len(f.gates) == 0 {
		f.committedAt = time.Time{}
	}
	if !reached {
		f.deliveries--
	}
	o.direct = false
}

func (f *inFlightRequest) find(key uint64) *offer {
	for _, o := range f.offers {
		if o.key.Number == key {
			return o
		}
	}
	return nil
}

// busy reports whether an attempt may be running.
func (f *inFlightRequest) busy() bool {
	for _, o := range f.offers {
		if o.state == running || o.state == unconfirmed || o.direct {
			return true
		}
	}
	return false
}

// onlyWaiting reports whether all offers wait in queues.
func (f *inFlightRequest) onlyWaiting() bool {
	for _, o := range f.offers {
		if o.state != waiting {
			return false
		}
	}
	return len(f.offers) > 0
}

// removeOffer removes a finished offer.
func (f *inFlightRequest) removeOffer(o *offer) {
	f.offers = slices.DeleteFunc(f.offers, func(p *offer) bool { return p == o })
	o.endpoint.inFlight.Add(-1)
	o.noteResponded()
	f.forwarder.unregister(o.key)
}

// withdraw cancels an unfinished offer.
func (f *inFlightRequest) withdraw(o *offer) {
	o.endpoint.send(&link.Frame{Withdraw: &link.Withdraw{Key: o.key}})
	f.removeOffer(o)
}

// withdrawOthers cancels the offers that are not running.
func (f *inFlightRequest) withdrawOthers() {
	for _, o := range slices.Clone(f.offers) {
		if o.state != running && o.state != unconfirmed && !o.direct {
			f.withdraw(o)
		}
	}
}

func (f *inFlightRequest) withdrawAll() {
	for _, o := range slices.Clone(f.offers) {
		f.withdraw(o)
	}
}
