package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/consul"
	"eiderfold/port"
)

// startPlatform serves a new platform and returns it with the product's client for it.
func startPlatform(t *testing.T, options ...consul.Option) (*Platform, *consul.Client) {
	t.Helper()
	p := NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, consul.New(server.URL, append([]consul.Option{consul.WithRate(1000, 1000)}, options...)...)
}

func TestCompareAndSwap(t *testing.T) {
	_, c := startPlatform(t)
	_, err := c.Get(t.Context(), "k")
	require.ErrorIs(t, err, port.ErrMissing)
	for _, step := range []struct {
		version uint64
		swapped bool
	}{{0, true}, {0, false}, {99, false}} {
		swapped, err := c.CompareAndSwap(t.Context(), port.Entry{Key: "k", Value: []byte("v"), Version: step.version})
		require.NoError(t, err)
		assert.Equal(t, step.swapped, swapped, "version %d", step.version)
	}
	e, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	assert.Equal(t, "v", string(e.Value))
	swapped, err := c.CompareAndSwap(t.Context(), e)
	require.NoError(t, err)
	assert.True(t, swapped)
	_, err = c.CompareAndSwap(t.Context(), port.Entry{Key: "k", Value: make([]byte, port.MaxValue+1)})
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

// TestWatch checks that a watch returns for a change below its prefix only.
func TestWatch(t *testing.T) {
	_, c := startPlatform(t)
	entries, index, err := c.Watch(t.Context(), "a/", 0)
	require.NoError(t, err)
	assert.Empty(t, entries)
	require.NotZero(t, index)
	type watchResult struct {
		entries []port.Entry
		err     error
	}
	got := make(chan watchResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		entries, _, err := c.Watch(ctx, "a/", index)
		got <- watchResult{entries, err}
	}()
	for _, key := range []string{"b/x", "a/x"} {
		_, err := c.CompareAndSwap(t.Context(), port.Entry{Key: key, Value: []byte(key)})
		require.NoError(t, err)
	}
	s := <-got
	require.NoError(t, s.err)
	require.Len(t, s.entries, 1)
	assert.Equal(t, "a/x", s.entries[0].Key)
}

// TestPlatformFaults checks that the client distinguishes a write that did not take
// effect from one whose outcome is unknown.
func TestPlatformFaults(t *testing.T) {
	p, c := startPlatform(t)
	e := port.Entry{Key: "k", Value: []byte("v")}
	p.SetFaults(PlatformFaults{LoseWrites: true})
	_, err := c.CompareAndSwap(t.Context(), e)
	assert.ErrorIs(t, err, port.ErrUnknown)
	p.SetFaults(PlatformFaults{})
	_, err = c.Get(t.Context(), "k")
	require.NoError(t, err, "the write whose response was lost took effect")
	p.SetFaults(PlatformFaults{WriteRate: 1})
	refused := 0
	for range 5 {
		if _, err := c.CompareAndSwap(t.Context(), e); err != nil {
			assert.ErrorIs(t, err, port.ErrUnavailable)
			refused++
		}
	}
	assert.NotZero(t, refused)
	p.SetFaults(PlatformFaults{Outage: true})
	_, err = c.Get(t.Context(), "k")
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

// TestClientRateLimit exhausts the client's own rate limit: a request beyond it
// fails without reaching the platform.
func TestClientRateLimit(t *testing.T) {
	p, c := startPlatform(t, consul.WithRate(0.001, 2))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for range 2 {
		_, err := c.List(ctx, "a/")
		require.NoError(t, err)
	}
	_, err := c.List(ctx, "a/")
	assert.ErrorIs(t, err, port.ErrUnavailable)
	assert.Equal(t, int64(2), p.watches.Load())
}

func TestInstances(t *testing.T) {
	p, c := startPlatform(t)
	server := httptest.NewServer(p)
	defer server.Close()
	text := Registration("certificados", "c-1", "10.0.0.1:9001", "cordon", "7", port.Leaving)
	r, err := http.NewRequest(http.MethodPut, server.URL+"/v1/agent/service/register", strings.NewReader(text))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	_ = resp.Body.Close()
	found, _, err := c.Instances(t.Context(), "certificados", 0)
	require.NoError(t, err)
	assert.Equal(t, []port.Instance{{Name: "c-1", Address: "10.0.0.1:9001", DataCentre: "cordon", Generation: "7", State: port.Leaving}}, found)
}
