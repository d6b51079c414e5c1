package standin

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	adapter "eiderfold/platform"
	"eiderfold/port"
)

func startMetadata(t *testing.T) (*Metadata, *adapter.Store) {
	t.Helper()
	m := NewMetadata()
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return m, adapter.NewStore(strings.TrimPrefix(s.URL, "http://"), func(string) {})
}

// TestStoreClient checks the store's client against the server: reads, writes,
// removals, ranges of several pages and watches.
func TestStoreClient(t *testing.T) {
	ctx := context.Background()
	m, s := startMetadata(t)
	_, revision, err := s.Get(ctx, "a/1")
	require.ErrorIs(t, err, port.ErrMissing)
	assert.Positive(t, revision.Revision)

	for i := range 8 {
		require.NoError(t, s.Put(ctx, fmt.Sprintf("a/%d", i), []byte{byte(i)}))
	}
	require.NoError(t, s.Put(ctx, "b", []byte("kept")))
	e, _, err := s.Get(ctx, "b")
	require.NoError(t, err)
	p, _, err := s.StaleRange(ctx, "b")
	require.NoError(t, err)
	assert.Equal(t, []port.Entry{e}, p)
	entries, _, err := s.Range(ctx, "a/")
	require.NoError(t, err)
	require.Len(t, entries, 8, "over several pages")
	assert.Equal(t, []byte{7}, entries[7].Value)

	found, at, err := s.Watch(ctx, "a/", revision, time.Second)
	require.NoError(t, err)
	assert.Len(t, found, 8)
	found, _, err = s.Watch(ctx, "a/", at, time.Millisecond)
	require.NoError(t, err)
	assert.Empty(t, found)

	require.NoError(t, s.Remove(ctx, "a/0"))
	found, _, err = s.Watch(ctx, "a/", at, time.Second)
	require.NoError(t, err)
	require.Len(t, found, 1)
	assert.True(t, found[0].Removed, "the watch reports a removal")
	entries, _, err = s.Range(ctx, "")
	require.NoError(t, err)
	require.Len(t, entries, 8)

	m.Directory().Compact()
	_, _, err = s.Watch(ctx, "a/", revision, time.Second)
	assert.ErrorIs(t, err, port.ErrCompacted)
	assert.ErrorIs(t, s.Put(ctx, "op/config", nil), port.ErrUnavailable, "nodes may not write the operators' keys")
}

// TestStoreEras restores the store from a copy, so that revisions are used again. A
// watch from a revision of the previous era must fail, or it would miss changes.
func TestStoreEras(t *testing.T) {
	ctx := context.Background()
	m, s := startMetadata(t)
	require.NoError(t, s.Put(ctx, "a/1", []byte("kept")))
	backup := m.Directory().Backup()
	require.NoError(t, s.Put(ctx, "a/2", []byte("lost")))
	_, before, err := s.Range(ctx, "a/")
	require.NoError(t, err)
	m.Directory().Restore(backup)
	require.NoError(t, s.Put(ctx, "a/3", []byte("written since")))
	require.NoError(t, s.Put(ctx, "a/4", []byte("written since")))
	_, _, err = s.Watch(ctx, "a/", before, time.Millisecond)
	assert.ErrorIs(t, err, port.ErrCompacted)
	entries, after, err := s.Range(ctx, "a/")
	require.NoError(t, err)
	assert.Len(t, entries, 3)
	assert.True(t, before.Before(after))
	assert.Equal(t, before.Era+1, after.Era)
	page, more, _, err := s.Page(ctx, "a/", "a/1")
	require.NoError(t, err)
	assert.False(t, more)
	assert.Len(t, page, 2)
}

// TestStoreFaults checks the error that the client returns for each fault.
func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	m, s := startMetadata(t)
	m.SetFaults(MetadataFaults{Busy: true})
	assert.ErrorIs(t, s.Put(ctx, "a", nil), port.ErrUnavailable)
	m.SetFaults(MetadataFaults{LoseWrites: true})
	assert.ErrorIs(t, s.Put(ctx, "a", []byte("done")), port.ErrUnknown)
	m.SetFaults(MetadataFaults{RateLimited: []string{"127.0.0.1"}})
	_, _, err := s.Get(ctx, "a")
	assert.ErrorIs(t, err, port.ErrUnavailable)
	m.SetFaults(MetadataFaults{Unresponsive: true})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, _, err = s.Get(short, "a")
	assert.ErrorIs(t, err, port.ErrUnknown)
	m.SetFaults(MetadataFaults{})
	e, _, err := s.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, "done", string(e.Value), "the write whose response was lost took effect")
}
