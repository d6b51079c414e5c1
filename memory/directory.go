package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"eiderfold/port"
)

// Faults are what is wrong with a Directory.
type Faults struct {
	Out        bool // Every call fails, nothing is done.
	LoseWrites bool // Writes are done, and their answers lost.
	Deaf       bool // Watches hear nothing until their wait is over.
}

// change is one entry of the history.
type change struct {
	entry port.Entry
	gone  bool
}

// Directory is a port.Directory in memory, with faults.
type Directory struct {
	mu       sync.Mutex
	faults   Faults
	entries  map[string]port.Entry
	history  []change
	oldest   uint64 // Changes up to this revision are forgotten.
	revision uint64
	changed  chan struct{} // Closed, and replaced, with every change.
}

var _ port.Directory = (*Directory)(nil)

// NewDirectory returns an empty directory without faults.
func NewDirectory() *Directory {
	return &Directory{
		entries:  map[string]port.Entry{},
		revision: 1,
		changed:  make(chan struct{}),
	}
}

// SetFaults changes what is wrong.
func (d *Directory) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
	d.wake()
}

// Compact forgets the history, so that watches must begin anew.
func (d *Directory) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = nil
	d.oldest = d.revision
}

// Get implements port.Directory.
func (d *Directory) Get(_ context.Context, key string) (port.Entry, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return port.Entry{}, 0, err
	}
	e, ok := d.entries[key]
	if !ok {
		return port.Entry{Key: key}, d.revision, port.ErrMissing
	}
	return e, d.revision, nil
}

// Peek implements port.Directory; here nothing is old.
func (d *Directory) Peek(ctx context.Context, key string) (port.Entry, uint64, error) {
	return d.Get(ctx, key)
}

// Range implements port.Directory.
func (d *Directory) Range(_ context.Context, prefix string) ([]port.Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return nil, err
	}
	var out []port.Entry
	for key, e := range d.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b port.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Watch implements port.Directory.
func (d *Directory) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]port.Entry, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, at, changed, err := d.look(prefix, after, false)
		if err != nil || len(found) > 0 {
			return found, at, err
		}
		select {
		case <-changed:
		case <-timer.C:
			found, at, _, err = d.look(prefix, after, true)
			return found, at, err
		case <-ctx.Done():
			return nil, 0, port.ErrUnknown
		}
	}
}

// look returns what a watch finds now, and the channel that ends its wait. A deaf
// one finds nothing before its wait is over.
func (d *Directory) look(prefix string, after uint64, over bool) ([]port.Entry, uint64, chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return nil, 0, nil, err
	}
	if d.faults.Deaf && !over {
		return nil, after, d.changed, nil
	}
	if after < d.oldest {
		return nil, 0, nil, port.ErrCompacted
	}
	var found []port.Entry
	for _, c := range d.history {
		if c.entry.Version > after && strings.HasPrefix(c.entry.Key, prefix) && !c.gone {
			found = append(found, c.entry)
		}
	}
	return found, d.revision, d.changed, nil
}

// Put implements port.Directory.
func (d *Directory) Put(_ context.Context, key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return err
	}
	d.revision++
	e := port.Entry{Key: key, Value: value, Version: d.revision}
	d.entries[key] = e
	d.record(change{entry: e})
	return d.answer()
}

// Remove implements port.Directory.
func (d *Directory) Remove(_ context.Context, key string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return err
	}
	d.remove(key)
	return d.answer()
}

// begin fails while the directory is out. The lock is held.
func (d *Directory) begin() error {
	if d.faults.Out {
		return port.ErrUnavailable
	}
	return nil
}

// answer is the result of a write that was done.
func (d *Directory) answer() error {
	if d.faults.LoseWrites {
		return port.ErrUnknown
	}
	return nil
}

// remove deletes a key, with the lock held.
func (d *Directory) remove(key string) {
	if _, ok := d.entries[key]; !ok {
		return
	}
	d.revision++
	delete(d.entries, key)
	d.record(change{entry: port.Entry{Key: key, Version: d.revision}, gone: true})
}

// record adds to the history and wakes watches, with the lock held.
func (d *Directory) record(c change) {
	d.history = append(d.history, c)
	d.wake()
}

// wake lets all watches look again, with the lock held.
func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}
