package link

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOutbox keeps order and its bound, and holds nothing while nothing waits.
func TestOutbox(t *testing.T) {
	o := newOutbox()
	for range 2 {
		for i := range outboxLength {
			assert.True(t, o.put(&Frame{Offer: &Offer{Priority: i}}))
		}
		assert.False(t, o.put(&Frame{}), "no more than the bound")
		<-o.filled
		frames := o.take()
		assert.Len(t, frames, outboxLength)
		for i, f := range frames {
			assert.Equal(t, i, f.Offer.Priority)
		}
		assert.Nil(t, o.frames)
		assert.Empty(t, o.take())
	}
}

// TestRestingLinkHoldsLittle bounds what a link keeps while nothing is sent: a node
// has hundreds of them. A buffer for reading is the largest part.
func TestRestingLinkHoldsLittle(t *testing.T) {
	const mostBytes = 2 << 10
	made := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			New(nil)
		}
	})
	assert.Less(t, made.AllocedBytesPerOp(), int64(mostBytes))
}
