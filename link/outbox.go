package link

import "sync"

// outboxLength is how many messages may wait for a slow peer before the link is
// given up; at a thousand requests a second that is some seconds' worth.
const outboxLength = 4096

// outbox holds messages for the goroutine that writes them. It grows with what
// waits: a channel would hold its whole length for every link of a node.
type outbox struct {
	filled chan struct{} // Has an element while messages wait.
	mu     sync.Mutex
	frames []*Frame
}

func newOutbox() *outbox { return &outbox{filled: make(chan struct{}, 1)} }

// put adds a message; false if too many wait.
func (o *outbox) put(f *Frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) >= outboxLength {
		return false
	}
	o.frames = append(o.frames, f)
	select {
	case o.filled <- struct{}{}:
	default: // It is told already.
	}
	return true
}

// take returns all messages that wait, in their order.
func (o *outbox) take() []*Frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	frames := o.frames
	o.frames = nil
	return frames
}
