package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bodymemory"
)

// bodied returns a message of each kind that carries a body of n bytes.
func bodied(n int) []*Frame {
	content := &Content{Method: "POST", Target: "/births", Host: "office.example", Header: map[string][]string{"A": {"b"}}, Body: bytes.Repeat([]byte("x"), n)}
	return []*Frame{
		{Offer: &Offer{Key: Key{1 << 60, 2}, Attempt: "a", Service: "births", Content: content, Nested: true}},
		{Commit: &Commit{Key: Key{1 << 60, 3}, TimeLeft: time.Second, Content: content, Repeat: true}},
		{Answer: &Answer{Key: Key{1 << 60, 4}, Status: 200, Header: map[string][]string{"A": {"b"}}, Body: content.Body, Room: &Room{Free: 3}}},
	}
}

// A long body that is written in the place of its placeholder must not change its message, also for nodes of earlier builds.
func TestLongBodyChangesItsMessage(t *testing.T) {
	for _, n := range []int{0, 1, 23, 24, 255, bodymemory.SmallBytes, bodymemory.SmallBytes + 1, 70_000} {
		for _, f := range bodied(n) {
			var written bytes.Buffer
			out := bufio.NewWriter(&written)
			size, err := encode(out, f)
			require.NoError(t, err)
			require.NoError(t, out.Flush())
			assert.Equal(t, written.Len(), size)
			got, err := New(nil).read(bufio.NewReader(&written))
			require.NoError(t, err)
			assert.Equal(t, len(f.body()), len(got.body()))
			plain, err := cbor.Marshal(f)
			require.NoError(t, err)
			again, err := New(nil).read(bufio.NewReader(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, uint32(len(plain))), plain...))))
			require.NoError(t, err)
			assert.Equal(t, again, got)
		}
	}
}

// A message whose body finds no memory must end its own request with the truth, and no other: the link goes on.
func TestMessageWithoutMemoryEndsItsLink(t *testing.T) {
	a, b := pair(t)
	memory := bodymemory.New(1 << 20)
	b.SetBodyMemory(memory)
	refused, got := make(chan *Frame, 10), make(chan *Frame, 10)
	go a.Run(func(f *Frame) { refused <- f }) //nolint:errcheck // It ends with the test.
	go b.Run(func(f *Frame) { got <- f })     //nolint:errcheck // It ends with the test.
	sent := bodied(2 << 20)
	for _, f := range sent {
		require.True(t, a.Send(f))
	}
	require.True(t, a.Send(&Frame{Status: &Status{Upstream: "i-1"}}))
	for _, f := range []*Frame{
		{Withdraw: &Withdraw{Key: sent[0].Offer.Key}},
		{Withdraw: &Withdraw{Key: sent[1].Commit.Key}},
		{Failed: &Failed{Key: sent[2].Answer.Key, Detail: "no memory for the answer"}},
		{Status: &Status{Upstream: "i-1"}},
	} {
		assert.Equal(t, f, <-got)
	}
	for _, k := range []Key{sent[0].Offer.Key, sent[1].Commit.Key} {
		assert.Equal(t, &Refused{Key: k, Reason: ReasonMemory}, (<-refused).Refused)
	}
	assert.LessOrEqual(t, memory.State().Peak, int64(1<<20))
}

// Long messages from many nodes at once must stay within the memory for bodies together, and each be kept once.
func TestMessagesOfManyNodesExceedTheMemory(t *testing.T) {
	const nodes, size = 8, 1 << 20
	memory := bodymemory.New(4 * size)
	ended := make(chan *Frame, nodes)
	for range nodes {
		a, b := pair(t)
		b.SetBodyMemory(memory)
		go a.Run(func(f *Frame) { ended <- f }) //nolint:errcheck // It ends with the test.
		go b.Run(func(f *Frame) {               //nolint:errcheck // It ends with the test.
			if f.Commit != nil {
				time.Sleep(2 * memoryTimeout)
				assert.Len(t, f.Commit.Content.Body, size)
				ended <- f
			}
		})
		require.True(t, a.Send(bodied(size)[1]))
	}
	kept := 0
	for range nodes {
		if f := <-ended; f.Commit != nil {
			kept++
		}
	}
	assert.LessOrEqual(t, memory.State().Peak, memory.Limit(bodymemory.ForwardedRequest))
	assert.Positive(t, kept)
}
