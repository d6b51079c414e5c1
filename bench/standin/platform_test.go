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

// platform starts the stand-in and returns the product's adapter to it.
func platform(t *testing.T, options ...consul.Option) (*Platform, *consul.Client) {
	t.Helper()
	p := NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, consul.New(server.URL, append([]consul.Option{consul.WithRate(1000, 1000)}, options...)...)
}

func TestCompareAndSwap(t *testing.T) {
	_, c := platform(t)
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

// TestWatch waits for a change below a prefix, and only there.
func TestWatch(t *testing.T) {
	_, c := platform(t)
	entries, index, err := c.Watch(t.Context(), "a/", 0)
	require.NoError(t, err)
	assert.Empty(t, entries)
	require.NotZero(t, index)
	type seen struct {
		entries []port.Entry
		err     error
	}
	got := make(chan seen, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		entries, _, err := c.Watch(ctx, "a/", index)
		got <- seen{entries, err}
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

// TestFaultsOfThePlatform tells what was surely not written from what may have been.
func TestFaultsOfThePlatform(t *testing.T) {
	p, c := platform(t)
	e := port.Entry{Key: "k", Value: []byte("v")}
	p.SetFaults(PlatformFaults{LoseWrites: true})
	_, err := c.CompareAndSwap(t.Context(), e)
	assert.ErrorIs(t, err, port.ErrUnknown)
	p.SetFaults(PlatformFaults{})
	_, err = c.Get(t.Context(), "k")
	require.NoError(t, err, "the lost answer's write took effect")
	p.SetFaults(PlatformFaults{WriteRate: 1})
	refused := 0
	for range 5 {
		if _, err := c.CompareAndSwap(t.Context(), e); err != nil {
			assert.ErrorIs(t, err, port.ErrUnavailable)
			refused++
		}
	}
	assert.NotZero(t, refused)
	p.SetFaults(PlatformFaults{Out: true})
	_, err = c.Get(t.Context(), "k")
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

// TestOwnRateLimit lets a client use up its own allowance.
func TestOwnRateLimit(t *testing.T) {
	p, c := platform(t, consul.WithRate(0.001, 2))
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
	p, c := platform(t)
	server := httptest.NewServer(p)
	defer server.Close()
	text := Registration("certificados", "c-1", "10.0.0.1:9001", "cordon", "7", port.Leaving)
	r, err := http.NewRequest(http.MethodPut, server.URL+"/v1/agent/service/register", strings.NewReader(text))
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	_ = answer.Body.Close()
	found, _, err := c.Instances(t.Context(), "certificados", 0)
	require.NoError(t, err)
	assert.Equal(t, []port.Instance{{Name: "c-1", Address: "10.0.0.1:9001", DataCentre: "cordon", Generation: "7", State: port.Leaving}}, found)
}
