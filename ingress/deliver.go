package ingress

import "eiderfold/link"

// register routes messages about an offer to its request until unregister is called.
func (f *Forwarder) register(k link.Key, req *inFlightRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[k.Number] = req
}

// unregister makes Deliver drop later messages about an offer.
func (f *Forwarder) unregister(k link.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, k.Number)
}

// Deliver passes a gate's message about an offer to its request.
func (f *Forwarder) Deliver(frame *link.Frame) {
	k, ok := keyOf(frame)
	if !ok || k.Origin != f.origin {
		return
	}
	f.mu.Lock()
	req := f.requests[k.Number]
	f.mu.Unlock()
	if req != nil {
		req.events.put(event{frame: frame, key: k.Number})
	}
}

// keyOf returns the key of the offer that a gate's message is about.
func keyOf(f *link.Frame) (link.Key, bool) {
	switch {
	case f.Granted != nil:
		return f.Granted.Key, true
	case f.Queued != nil:
		return f.Queued.Key, true
	case f.Refused != nil:
		return f.Refused.Key, true
	case f.Answer != nil:
		return f.Answer.Key, true
	case f.Failed != nil:
		return f.Failed.Key, true
	case f.Overdue != nil:
		return f.Overdue.Key, true
	default:
		return link.Key{}, false
	}
}

// Connected sets the link to an endpoint's process and notifies the requests in flight.
func (f *Forwarder) Connected(e *Endpoint, sink Sink, process uint64) {
	e.link.Store(&gateLink{sink: sink, process: process})
	f.broadcast(event{endpoint: e})
}

// Disconnected removes a link and notifies the requests in flight. It ignores a link that
// has been replaced already.
func (f *Forwarder) Disconnected(e *Endpoint, sink Sink) {
	l := e.link.Load()
	if l == nil || l.sink != sink || !e.link.CompareAndSwap(l, nil) {
		return
	}
	f.broadcast(event{endpoint: e, lost: true})
}

// Finish ends every request in flight, and each that begins later, with what is known of its outcome.
func (f *Forwarder) Finish() { f.finish.Do(func() { close(f.finished) }) }

// broadcast notifies every request that has offers once, however many it has.
func (f *Forwarder) broadcast(e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	notified := map[*inFlightRequest]bool{}
	for _, req := range f.requests {
		if !notified[req] {
			notified[req] = true
			req.events.put(e)
		}
	}
}
