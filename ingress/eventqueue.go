package ingress

import "sync"

// eventQueue holds the events of a request until it handles them. It drops none, however many links are lost and back
// while the request's goroutine does not run: one of them may be its answer.
type eventQueue struct {
	ready  chan struct{} // Has an element while events are queued.
	mu     sync.Mutex
	events []event
}

func newEventQueue() *eventQueue { return &eventQueue{ready: make(chan struct{}, 1)} }

// put queues an event.
func (q *eventQueue) put(e event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, e)
	select {
	case q.ready <- struct{}{}:
	default: // The request is already notified.
	}
}

// take removes and returns all queued events in order.
func (q *eventQueue) take() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}
