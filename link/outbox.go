package link

import "sync"

// outboxLength is how many messages may be queued for a slow peer before the link is
// closed; at a thousand requests a second that is a few seconds' worth.
const outboxLength = 4096

// outbox queues messages for the writing goroutine. It grows on demand: a channel
// would allocate its full capacity for every link.
type outbox struct {
	ready  chan struct{} // Has an element while messages are queued.
	mu     sync.Mutex
	frames []*Frame
	total  uint64 // How many messages were queued so far.
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// put queues a message. It returns false if the outbox is full.
func (o *outbox) put(f *Frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) >= outboxLength {
		return false
	}
	o.frames = append(o.frames, f)
	o.total++
	select {
	case o.ready <- struct{}{}:
	default: // The writer is already notified.
	}
	return true
}

// take removes and returns all queued messages in order.
func (o *outbox) take() []*Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	frames := o.frames
	o.frames = nil
	return frames
}

// queued returns how many messages were queued so far.
func (o *outbox) queued() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}
