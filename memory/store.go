// Package memory implements the store (port.Store) and the instance list of "eiderfold run"
// and the store of "eiderfold mesh" (port.Directory) in memory, for "eiderfold dev" and
// tests. Nothing is persisted.
//
// # Usage
//
//	s := memory.NewStore()
//	ok, err := s.CompareAndSwap(ctx, port.Entry{Key: "a", Value: []byte("1")})
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"eiderfold/port"
)

// Store is a port.Store in memory. Use NewStore; the zero value is not usable.
type Store struct {
	mu      sync.Mutex
	entries map[string]port.Entry
	index   uint64        // Of the last write.
	changed chan struct{} // Closed and replaced with every write.
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]port.Entry{}, index: 1, changed: make(chan struct{})}
}

// Get implements port.Store.
func (s *Store) Get(_ context.Context, key string) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return port.Entry{Key: key}, port.ErrMissing
	}
	return e, nil
}

// List implements port.Store.
func (s *Store) List(_ context.Context, prefix string) ([]port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, _ := s.withPrefix(prefix)
	return found, nil
}

// Keys implements port.Store.
func (s *Store) Keys(ctx context.Context, prefix string) ([]string, error) {
	found, err := s.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(found))
	for _, e := range found {
		keys = append(keys, e.Key)
	}
	return keys, nil
}

// CompareAndSwap implements port.Store.
func (s *Store) CompareAndSwap(_ context.Context, e port.Entry) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.Key].Version != e.Version {
		return false, nil
	}
	s.index++
	e.Version = s.index
	e.Value = slices.Clone(e.Value)
	s.entries[e.Key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return true, nil
}

// Watch implements port.Store.
func (s *Store) Watch(ctx context.Context, prefix string, index uint64) ([]port.Entry, uint64, error) {
	for {
		s.mu.Lock()
		found, newest := s.withPrefix(prefix)
		changed := s.changed
		s.mu.Unlock()
		if newest > index {
			return found, newest, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found, max(newest, index), nil
		}
	}
}

// withPrefix returns the entries below a prefix in key order, and their highest version.
// The lock must be held.
func (s *Store) withPrefix(prefix string) ([]port.Entry, uint64) {
	var found []port.Entry
	newest := uint64(1) // Above 0, so that a watch from index 0 returns at once.
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			found = append(found, e)
			newest = max(newest, e.Version)
		}
	}
	slices.SortFunc(found, func(a, b port.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, newest
}
