package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pair returns the two ends of one connection.
func pair(t *testing.T) (*Link, *Link) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // The test needs one connection only.
	near, err := Dial(t.Context(), net.ParseIP("127.0.0.1"), l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(near.Close)
	other := New(far)
	t.Cleanup(other.Close)
	return near, other
}

// TestOrder checks that messages of several kinds arrive unchanged and in order.
func TestOrder(t *testing.T) {
	a, b := pair(t)
	sent := []*Frame{
		{Hello: &Hello{Member: Member{Name: "n", Service: "s"}, Process: 7, Version: 9}},
		{Offer: &Offer{Key: Key{1, 2}, Attempt: "x", TimeLeft: time.Second, Content: &Content{Method: "GET", Body: []byte{0, 255}}}},
		{Commit: &Commit{Key: Key{1, 2}, Content: &Content{Header: map[string][]string{"A": {"b", "c"}}}}},
		{Answer: &Answer{Key: Key{1, 2}, Status: 200, Body: bytes.Repeat([]byte("x"), 1<<20)}},
		{Refused: &Refused{Key: Key{1, 2}, Reason: ReasonTrial, RetryAfter: time.Second}},
		{Configuration: &Configuration{Version: 3, Packed: []byte("{}")}},
	}
	got := make(chan *Frame, len(sent))
	go b.Run(func(f *Frame) { got <- f }) //nolint:errcheck // It ends with the test.
	go a.Run(func(*Frame) {})             //nolint:errcheck // It ends with the test.
	assert.True(t, a.Send(&Frame{Ping: &Ping{}}), "a ping is answered by the link, not passed to the handler")
	for _, f := range sent {
		require.True(t, a.Send(f))
	}
	for _, f := range sent {
		assert.Equal(t, f, <-got)
	}
	require.Eventually(t, func() bool { return time.Since(a.LastReceived()) < time.Minute }, 5*time.Second, time.Millisecond)
}

// A message must not count as delivered before the peer's system has it: a process that ends before then may lose it.
func TestDeliveryAwaitsThePeer(t *testing.T) {
	a, b := pair(t)
	go a.Run(func(*Frame) {})                                                    //nolint:errcheck // It ends with the test.
	require.True(t, a.Send(&Frame{Answer: &Answer{Body: make([]byte, 32<<20)}})) // More than the sockets hold.
	d := a.Delivery()
	for range 10 {
		assert.False(t, d.Done())
		time.Sleep(5 * time.Millisecond)
	}
	go b.Run(func(*Frame) {}) //nolint:errcheck // It ends with the test.
	require.Eventually(t, d.Done, 5*time.Second, time.Millisecond)
	a.Close()
	assert.True(t, a.Delivery().Done(), "nothing more is delivered over a closed link")
}

// A byte that is not UTF-8 in a header or path must arrive unchanged: it ended the link with all requests on it.
func TestHeaderThatIsNotUTF8EndsLink(t *testing.T) {
	a, b := pair(t)
	const latin1 = "Garc\xeda"
	content := &Content{Method: "GET", Target: "/" + latin1, Host: latin1, Header: map[string][]string{"X-" + latin1: {latin1}}}
	sent := []*Frame{{Commit: &Commit{Key: Key{1, 2}, Content: content}}, {Answer: &Answer{Key: Key{1, 2}, Header: content.Header}}}
	got := make(chan *Frame, len(sent))
	go a.Run(func(*Frame) {}) //nolint:errcheck // It ends with the test.
	for _, f := range sent {
		require.True(t, a.Send(f))
	}
	go func() {
		_ = b.Run(func(f *Frame) { got <- f })
		close(got)
	}()
	for _, f := range sent {
		assert.Equal(t, f, <-got)
	}
}

// A long message to a node that reads it slowly must not end the link with all that is under way on it: the whole
// message had to be written within the timeout of one write.
func TestLongMessageEndsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := New(near)
		go l.Run(func(*Frame) {}) //nolint:errcheck // It ends with the test.
		const size = 512 << 10
		require.True(t, l.Send(&Frame{Answer: &Answer{Body: make([]byte, size)}}))
		read := 0
		for piece := make([]byte, 32<<10); read < size; time.Sleep(ackTimeout / 4) {
			n, err := io.ReadFull(far, piece)
			require.NoError(t, err, "after %d bytes", read)
			read += n
		}
		l.Close()
	})
}

// A link must not count as stalled while a long message arrives over it: only whole messages counted.
func TestLinkThatReceivesLongMessageCountsAsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := New(near)
		go l.Run(func(*Frame) {}) //nolint:errcheck // It ends with the test.
		_, err := far.Write(binary.BigEndian.AppendUint32(nil, 1<<20))
		require.NoError(t, err)
		for range 10 {
			time.Sleep(time.Second)
			_, err := far.Write(make([]byte, 64<<10))
			require.NoError(t, err)
			synctest.Wait()
			assert.Zero(t, time.Since(l.LastReceived()))
		}
		l.Close()
	})
}

// TestClosed checks that closing one end closes the other and makes Send fail on both.
func TestClosed(t *testing.T) {
	a, b := pair(t)
	ended := make(chan error, 1)
	go func() { ended <- b.Run(func(*Frame) {}) }()
	a.Close()
	assert.Error(t, <-ended)
	<-b.Closed()
	assert.False(t, a.Send(&Frame{}))
	assert.False(t, b.Send(&Frame{}))
}

// TestPeerThatDoesNotRead checks that a link to a stalled peer is closed instead of
// blocking its senders.
func TestPeerThatDoesNotRead(t *testing.T) {
	a, _ := pair(t)
	go a.Run(func(*Frame) {}) //nolint:errcheck // It ends with the link.
	big := &Frame{Answer: &Answer{Body: make([]byte, 64<<10)}}
	for range 2 * outboxLength {
		if !a.Send(big) {
			<-a.Closed()
			return
		}
	}
	t.Fatal("the link to a stalled peer is still open")
}

// TestLargeMessageAfterIdle checks that a message larger than the buffer is sent
// although the write deadline of the previous write has passed.
func TestLargeMessageAfterIdle(t *testing.T) {
	a, b := pair(t)
	got := make(chan *Frame, 1)
	go b.Run(func(f *Frame) { got <- f }) //nolint:errcheck // It ends with the test.
	require.NoError(t, a.conn.SetWriteDeadline(time.Now().Add(-time.Second)))
	go a.Run(func(*Frame) {}) //nolint:errcheck // It ends with the test.
	sent := &Frame{Answer: &Answer{Body: make([]byte, 4*bufferBytes)}}
	require.True(t, a.Send(sent))
	select {
	case f := <-got:
		assert.Equal(t, sent, f)
	case <-a.Closed():
		t.Fatal("the link broke")
	}
}

// TestTooLarge checks that a message is rejected by its announced length, before it
// is read.
func TestTooLarge(t *testing.T) {
	var prefix [prefixLength]byte
	binary.BigEndian.PutUint32(prefix[:], maxFrame+1)
	_, err := New(nil).read(bufio.NewReader(bytes.NewReader(prefix[:])))
	assert.ErrorIs(t, err, ErrFrameTooLarge)
}

// A message that is announced and does not come must not take its memory.
func TestAnnouncedMessageTakesItsMemory(t *testing.T) {
	message := binary.BigEndian.AppendUint32(nil, maxFrame)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := New(nil).read(bufio.NewReader(bytes.NewReader(append(message, "some bytes"...))))
	runtime.ReadMemStats(&after)
	assert.Error(t, err)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxFrame/8))
}

// A message that breaks off, or nests deeper than any does, must be an error.
func TestMessageWithoutEndIsHandled(t *testing.T) {
	whole, err := cbor.Marshal(&Frame{Answer: &Answer{Key: Key{1, 2}, Status: 200, Body: bytes.Repeat([]byte("x"), beginningBytes+1000)}})
	require.NoError(t, err)
	message := append(binary.BigEndian.AppendUint32(nil, uint32(len(whole))), whole...)
	f, err := New(nil).read(bufio.NewReader(bytes.NewReader(message)))
	require.NoError(t, err)
	assert.Len(t, f.Answer.Body, beginningBytes+1000)
	for _, length := range []int{0, 3, prefixLength, prefixLength + 1, beginningBytes, len(message) - 1} {
		_, err := New(nil).read(bufio.NewReader(bytes.NewReader(message[:length])))
		assert.Error(t, err, length)
	}
	nested := bytes.Repeat([]byte{0x81}, 100_000) // Lists of one element.
	_, err = New(nil).read(bufio.NewReader(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, uint32(len(nested))), nested...))))
	assert.Error(t, err)
}

// FuzzRead checks that arbitrary bytes yield a message or an error, not a panic.
func FuzzRead(f *testing.F) {
	payload, err := cbor.Marshal(&Frame{Offer: &Offer{Key: Key{1, 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte{0, 0, 0, byte(len(payload))}, payload...))
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > 4 && binary.BigEndian.Uint32(input) > 1<<20 {
			return // Avoids large allocations for an announced length.
		}
		m, err := New(nil).read(bufio.NewReader(bytes.NewReader(input)))
		if err == nil {
			assert.NotNil(t, m)
		}
	})
}
