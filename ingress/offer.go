package ingress

import (
	"cmp"
	"slices"
	"time"

	"eiderfold/link"
)

const (
	// acceptTime is how long a gate may take to answer an offer. Between data
	// centres a round trip is 3 ms; a lost packet is sent again after 200 ms.
	acceptTime = 120 * time.Millisecond
	// mostOffers is how many gates may have an offer of one request at a time.
	mostOffers = 3
)

type offerState uint8

const (
	offered offerState = iota
	waiting            // In the gate's queue.
	running
	doubtful // Committed, and the link broke.
)

// offer is one gate's part in a request.
type offer struct {
	target  *Target
	process uint64 // Of the gate; another one knows nothing of the offer.
	key     link.Key
	state   offerState
	direct  bool      // It carried the content and may start without a commit.
	heard   bool      // The gate has answered it.
	accept  time.Time // When silence makes the gate suspect.
	started time.Time // When it was committed, or sent with its content.
	hedge   time.Time // When a second one may be sent.
	rejoin  time.Time // When a doubtful one is given up.
}

// send offers the request to the chosen gate. A retryable one takes its content to
// the first gate, which saves a round trip where a slot is free.
func (f *flight) send(c choice, now time.Time) {
	w := c.target.way.Load()
	f.tried = append(f.tried, c.target)
	if w == nil {
		f.nextRound(now)
		return
	}
	o := &offer{target: c.target, process: w.process, key: f.forwarder.key(), accept: now.Add(acceptTime)}
	message := f.message(o, c.force, now)
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
		f.end(f.refused(o, notConnected, now))
	}
}

// message is the offer as its gate gets it, without content.
func (f *flight) message(o *offer, force bool, now time.Time) *link.Offer {
	return &link.Offer{
		Key:           o.key,
		Attempt:       f.attempt,
		Service:       f.service,
		Upstream:      o.target.Status().Upstream,
		CallerService: f.forwarder.service,
		Left:          f.deadline.Sub(now),
		Priority:      f.terms.Priority(),
		Retryable:     f.route.Retryable,
		Force:         force,
		Aim:           cmp.Or(f.terms.Aim().Sub(now), -1),
		Kind:          f.route.Kind(),
		Claim:         f.claim(),
		Account:       f.accountName(),
		Record:        f.record,
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
	f.denied = 0
	o.hedge = now.Add(time.Duration(hedgeFactor * float64(f.usual.Cut())))
}

// uncount takes note that it did not run after all.
func (f *flight) uncount(o *offer, reached bool) {
	f.runs--
	if f.gates = f.gates[:len(f.gates)-1]; len(f.gates) == 0 {
		f.committed = time.Time{}
	}
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

// busy tells whether an attempt may be running.
func (f *flight) busy() bool {
	for _, o := range f.offers {
		if o.state == running || o.state == doubtful || o.direct {
			return true
		}
	}
	return false
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

// forget takes an offer out that has its end.
func (f *flight) forget(o *offer) {
	f.offers = slices.DeleteFunc(f.offers, func(p *offer) bool { return p == o })
	o.target.inFlight.Add(-1)
	f.forwarder.unregister(o.key)
}

// withdraw gives an offer up that has no end yet.
func (f *flight) withdraw(o *offer) {
	o.target.send(&link.Frame{Withdraw: &link.Withdraw{Key: o.key}})
	f.forget(o)
}

// withdrawOthers gives up what was offered and does not run.
func (f *flight) withdrawOthers() {
	for _, o := range slices.Clone(f.offers) {
		if o.state != running && o.state != doubtful && !o.direct {
			f.withdraw(o)
		}
	}
}

func (f *flight) withdrawAll() {
	for _, o := range slices.Clone(f.offers) {
		f.withdraw(o)
	}
}
