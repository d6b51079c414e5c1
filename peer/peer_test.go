package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/core"
	"eiderfold/keys"
)

func material(t *testing.T, a *keys.Authority, name string) *keys.Material {
	t.Helper()
	pair, err := a.Issue(name, []string{"127.0.0.1"})
	require.NoError(t, err)
	m, err := keys.New(pair, a.Certificate())
	require.NoError(t, err)
	return m
}

func listen(t *testing.T, m *keys.Material, h Handler) *Transport {
	t.Helper()
	tr, err := Listen("127.0.0.1:0", m, h)
	require.NoError(t, err)
	t.Cleanup(func() { _ = tr.Close() })
	return tr
}

func TestCall(t *testing.T) {
	authority, err := keys.NewAuthority("a")
	require.NoError(t, err)
	server := listen(t, material(t, authority, "server"), func(_ context.Context, r *Request) *Reply {
		return &Reply{Inquire: &InquireReply{Stage: core.Done, Answer: &core.Recorded{Status: 201, Body: r.Inquire.Key[:]}}}
	})
	client := listen(t, material(t, authority, "client"), nil)
	key := core.Key{1, 2, 3}
	reply, err := client.Call(t.Context(), server.Address(), &Request{Inquire: &Inquire{Key: key}})
	require.NoError(t, err)
	assert.Equal(t, key[:], reply.Inquire.Answer.Body)
}

// One recorded answer with a header that is not UTF-8 must not keep all records from the node that takes them over.
func TestHeaderThatIsNotUTF8EndsHandover(t *testing.T) {
	sent := &Request{Handover: &Handover{Entries: []core.Entry{{Stage: core.Done, Answer: &core.Recorded{Status: 200, Header: map[string]string{"X-Town": "Garc\xeda"}}}}}}
	data, err := Encode(sent)
	require.NoError(t, err)
	got := &Request{}
	require.NoError(t, Decode(data, got))
	assert.Equal(t, sent, got)
}

// TestUntrustedPeersAreRefused guards against accepting a peer with a certificate of
// another authority, whether it dials or is dialled.
func TestUntrustedPeersAreRefused(t *testing.T) {
	authority, err := keys.NewAuthority("ours")
	require.NoError(t, err)
	otherAuthority, err := keys.NewAuthority("theirs")
	require.NoError(t, err)
	handler := func(context.Context, *Request) *Reply { return &Reply{Done: true} }
	server := listen(t, material(t, authority, "server"), handler)
	untrusted := listen(t, material(t, otherAuthority, "stranger"), handler)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = untrusted.Call(ctx, server.Address(), &Request{Status: &Status{}})
	require.Error(t, err)
	_, err = server.Call(ctx, untrusted.Address(), &Request{Status: &Status{}})
	require.Error(t, err)
}

// FuzzDecode guards against messages that make the decoder panic or allocate too much
// memory, and against decoded messages that cannot be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range []*Request{
		{Heartbeat: &Heartbeat{Evidence: map[string][]Tally{"s": {{Index: 3, Failed: 1}}}}},
		{Claim: &Claim{Key: core.Key{1}, Holder: core.Holder{Node: "n"}}},
		{Handover: &Handover{Entries: []core.Entry{{Stage: core.Done, Answer: &core.Recorded{Status: 200}}}}},
	} {
		data, err := Encode(r)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &Request{}
		if Decode(data, r) != nil {
			return
		}
		encoded, err := Encode(r)
		require.NoError(t, err)
		require.NoError(t, Decode(encoded, &Request{}))
	})
}
