package link

import "eiderfold/socket"

// Delivery tells when the messages that were queued on a link at some moment have reached the peer's system.
type Delivery struct {
	link   *Link
	frames uint64 // How many messages were queued by then.
	bytes  uint64 // How many bytes have to be acknowledged; 0 until the messages are written.
}

// Delivery returns the delivery of the messages that are queued now.
func (l *Link) Delivery() *Delivery { return &Delivery{link: l, frames: l.outbox.queued()} }

// Done reports whether the messages have reached the peer's system, or never will as the link is closed.
func (d *Delivery) Done() bool {
	select {
	case <-d.link.closed:
		return true
	default:
	}
	if d.link.writtenFrames.Load() < d.frames {
		return false
	}
	// Bytes of later messages may be on their way too.
	written := d.link.writtenBytes.Load()
	if d.bytes == 0 {
		d.bytes = written
	}
	return written-min(written, uint64(socket.Unacknowledged(d.link.conn))) >= d.bytes
}
