package ingress

import "eiderfold/link"

// register lets messages about an offer reach its request, until unregister.
func (f *Forwarder) register(k link.Key, fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flights[k.Number] = fl
}

// unregister drops what else comes about an offer.
func (f *Forwarder) unregister(k link.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.flights, k.Number)
}

// Deliver takes a gate's message about an offer.
func (f *Forwarder) Deliver(frame *link.Frame) {
	k, ok := keyOf(frame)
	if !ok || k.Origin != f.origin {
		return
	}
	f.mu.Lock()
	fl := f.flights[k.Number]
	f.mu.Unlock()
	if fl != nil {
		fl.notify(event{frame: frame, key: k.Number})
	}
}

// keyOf returns the offer that a gate's message is about.
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
	case f.Silent != nil:
		return f.Silent.Key, true
	default:
		return link.Key{}, false
	}
}

// notify hands an event over. The channel holds more than a request can bring; if
// it is full nevertheless, its tick finds out by the deadlines.
func (f *flight) notify(e event) {
	select {
	case f.events <- e:
	default:
	}
}

// Connected tells that there is a way to a target's process.
func (f *Forwarder) Connected(t *Target, sink Sink, process uint64) {
	t.way.Store(&way{sink: sink, process: process})
	f.tell(event{target: t})
}

// Disconnected tells that a way is gone; one that was replaced already is not.
func (f *Forwarder) Disconnected(t *Target, sink Sink) {
	w := t.way.Load()
	if w == nil || w.sink != sink || !t.way.CompareAndSwap(w, nil) {
		return
	}
	f.tell(event{target: t, lost: true})
}

// Finish has every request in flight answered with what is known of it now.
func (f *Forwarder) Finish() { f.tell(event{finish: true}) }

// tell hands an event to every request once, however many offers it has.
func (f *Forwarder) tell(e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	told := map[*flight]bool{}
	for _, fl := range f.flights {
		if !told[fl] {
			told[fl] = true
			fl.notify(e)
		}
	}
}
