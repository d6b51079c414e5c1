package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"eiderfold/memory"
	"eiderfold/port"
)

// nodeStore is the store as one node sees it.
type nodeStore struct {
	*memory.Directory
	denied atomic.Bool  // The store refuses the node's calls.
	frozen atomic.Bool  // Watches do not return, as if the node were suspended.
	peeks  atomic.Int64 // Number of calls of StaleRange.
	calls  atomic.Int64 // Number of all calls except watches.
	puts   atomic.Int64 // Number of calls of Put.
	// pageEntries is the size of a page; 0 for that of the store.
	pageEntries int
}

func (s *nodeStore) check() error {
	s.calls.Add(1)
	if s.denied.Load() {
		return port.ErrUnavailable
	}
	return nil
}

func (s *nodeStore) Get(ctx context.Context, key string) (port.Entry, port.StoreRevision, error) {
	if err := s.check(); err != nil {
		return port.Entry{}, port.StoreRevision{}, err
	}
	return s.Directory.Get(ctx, key)
}

func (s *nodeStore) StaleRange(ctx context.Context, prefix string) ([]port.Entry, port.StoreRevision, error) {
	s.peeks.Add(1)
	if err := s.check(); err != nil {
		return nil, port.StoreRevision{}, err
	}
	return s.Directory.StaleRange(ctx, prefix)
}

func (s *nodeStore) Range(ctx context.Context, prefix string) ([]port.Entry, port.StoreRevision, error) {
	if err := s.check(); err != nil {
		return nil, port.StoreRevision{}, err
	}
	return s.Directory.Range(ctx, prefix)
}

func (s *nodeStore) Page(ctx context.Context, prefix, after string) ([]port.Entry, bool, port.StoreRevision, error) {
	if err := s.check(); err != nil {
		return nil, false, port.StoreRevision{}, err
	}
	entries, more, at, err := s.Directory.Page(ctx, prefix, after)
	if s.pageEntries > 0 && len(entries) > s.pageEntries {
		entries, more = entries[:s.pageEntries], true
	}
	return entries, more, at, err
}

func (s *nodeStore) Watch(ctx context.Context, prefix string, after port.StoreRevision, wait time.Duration) ([]port.Entry, port.StoreRevision, error) {
	if s.denied.Load() {
		return nil, port.StoreRevision{}, port.ErrUnavailable
	}
	events, at, err := s.Directory.Watch(ctx, prefix, after, wait)
	if s.frozen.Load() {
		<-ctx.Done()
		return nil, port.StoreRevision{}, ctx.Err()
	}
	if s.denied.Load() {
		return nil, port.StoreRevision{}, port.ErrUnavailable // A watch pending when refusals begin must not deliver changes.
	}
	return events, at, err
}

func (s *nodeStore) Put(ctx context.Context, key string, value []byte) error {
	s.puts.Add(1)
	if err := s.check(); err != nil {
		return err
	}
	return s.Directory.Put(ctx, key, value)
}
