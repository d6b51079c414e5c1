package link

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOutbox checks that the outbox keeps order, enforces its limit and holds no
// memory while it is empty.
func TestOutbox(t *testing.T) {
	o := newOutbox()
	for range 2 {
		for i := range outboxLength {
			assert.True(t, o.put(&Frame{Offer: &Offer{Priority: i}}))
		}
		assert.False(t, o.put(&Frame{}), "accepted a message over the limit")
		<-o.ready
		frames := o.take()
		assert.Len(t, frames, outboxLength)
		for i, f := range frames {
			assert.Equal(t, i, f.Offer.Priority)
		}
		assert.Nil(t, o.frames)
		assert.Empty(t, o.take())
	}
}

// TestIdleLinkMemory limits the memory of an idle link, since a node has hundreds
// of links.
func TestIdleLinkMemory(t *testing.T) {
	const maxBytes = 2 << 10
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			New(nil)
		}
	})
	assert.Less(t, result.AllocedBytesPerOp(), int64(maxBytes))
}
