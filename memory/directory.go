package memory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"eiderfold/port"
)

// Faults selects the faults that a Directory simulates.
type Faults struct {
	Outage           bool // Every call fails without effect.
	LoseWriteReplies bool // Writes take effect but return port.ErrUnknown.
	DropChanges      bool // Watches return no changes before their wait expires.
}

// Directory is a port.Directory in memory with fault injection.
type Directory struct {
	mu          sync.Mutex
	faults      Faults
	entries     map[string]port.Entry
	history     []port.Entry // Writes and removals, by revision.
	compactedTo uint64       // Changes up to this revision have been compacted.
	era         uint64
	revision    uint64
	changed     chan struct{} // Closed and replaced with every change.
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

// SetFaults replaces the simulated faults.
func (d *Directory) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
	d.notifyWatchers()
}

// Compact discards the history, so that watches of earlier revisions fail with
// port.ErrCompacted.
func (d *Directory) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = nil
	d.compactedTo = d.revision
}

// Backup is a backup of a directory's contents.
type Backup struct {
	entries  map[string]port.Entry
	revision uint64
}

// Backup returns a backup of the directory's current contents.
func (d *Directory) Backup() Backup {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Backup{entries: maps.Clone(d.entries), revision: d.revision}
}

// Restore restores a backup. Later writes are lost, revisions continue from that of the
// backup in a new era, and waiting watches end.
func (d *Directory) Restore(b Backup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = maps.Clone(b.entries)
	d.revision = b.revision
	d.history = slices.DeleteFunc(d.history, func(e port.Entry) bool { return e.Version > b.revision })
	d.compactedTo = min(d.compactedTo, b.revision)
	d.era++
	d.notifyWatchers()
}

// Revision returns the directory's current era and revision.
func (d *Directory) Revision() port.StoreRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentRevision()
}

// currentRevision is Revision with the lock held.
func (d *Directory) currentRevision() port.StoreRevision {
	return port.StoreRevision{Era: d.era, Revision: d.revision}
}

// Get implements port.Directory.
func (d *Directory) Get(_ context.Context, key string) (port.Entry, port.StoreRevision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkAvailable(); err != nil {
		return port.Entry{}, port.StoreRevision{}, err
	}
	e, ok := d.entries[key]
	if !ok {
		return port.Entry{Key: key}, d.currentRevision(), port.ErrMissing
	}
	return e, d.currentRevision(), nil
}

// pageEntries is the maximum number of entries in a page.
const pageEntries = 500

// Page implements port.Directory.
func (d *Directory) Page(ctx context.Context, prefix, after string) ([]port.Entry, bool, port.StoreRevision, error) {
	all, at, err := d.Range(ctx, prefix)
	if err != nil {
		return nil, false, at, err
	}
	first := slices.IndexFunc(all, func(e port.Entry) bool { return e.Key > after })
	if first < 0 {
		return nil, false, at, nil
	}
	rest := all[first:]
	return rest[:min(len(rest), pageEntries)], len(rest) > pageEntries, at, nil
}

// StaleRange implements port.Directory; its result is never stale.
func (d *Directory) StaleRange(ctx context.Context, prefix string) ([]port.Entry, port.StoreRevision, error) {
	return d.Range(ctx, prefix)
}

// Range implements port.Directory.
func (d *Directory) Range(_ context.Context, prefix string) ([]port.Entry, port.StoreRevision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkAvailable(); err != nil {
		return nil, port.StoreRevision{}, err
	}
	var out []port.Entry
	for key, e := range d.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b port.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, d.currentRevision(), nil
}

// Watch implements port.Directory.
func (d *Directory) Watch(ctx context.Context, prefix string, after port.StoreRevision, wait time.Duration) ([]port.Entry, port.StoreRevision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, at, changed, err := d.changesAfter(prefix, after, false)
		if err != nil || len(found) > 0 {
			return found, at, err
		}
		select {
		case <-changed:
		case <-timer.C:
			found, at, _, err = d.changesAfter(prefix, after, true)
			return found, at, err
		case <-ctx.Done():
			return nil, port.StoreRevision{}, port.ErrUnknown
		}
	}
}

// changesAfter returns the changes below a prefix after a revision, and a channel that is
// closed with the next change. With the fault DropChanges it finds changes only if the watch's
// wait has expired.
func (d *Directory) changesAfter(prefix string, after port.StoreRevision, expired bool) ([]port.Entry, port.StoreRevision, chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkAvailable(); err != nil {
		return nil, port.StoreRevision{}, nil, err
	}
	if after.Revision < d.compactedTo || after.Revision > d.revision || after.Era != d.era {
		return nil, port.StoreRevision{}, nil, port.ErrCompacted
	}
	if d.faults.DropChanges && !expired {
		return nil, after, d.changed, nil
	}
	var found []port.Entry
	for _, e := range d.history {
		if e.Version > after.Revision && strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found, d.currentRevision(), d.changed, nil
}

// Put implements port.Directory.
func (d *Directory) Put(_ context.Context, key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkAvailable(); err != nil {
		return err
	}
	d.revision++
	e := port.Entry{Key: key, Value: value, Version: d.revision}
	d.entries[key] = e
	d.appendHistory(e)
	return d.writeResult()
}

// Remove implements port.Directory.
func (d *Directory) Remove(_ context.Context, key string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkAvailable(); err != nil {
		return err
	}
	d.remove(key)
	return d.writeResult()
}

// checkAvailable returns an error while the fault Outage is set. The lock must be held.
func (d *Directory) checkAvailable() error {
	if d.faults.Outage {
		return port.ErrUnavailable
	}
	return nil
}

// writeResult returns the result of a write that took effect: port.ErrUnknown while the fault
// LoseWriteReplies is set. The lock must be held.
func (d *Directory) writeResult() error {
	if d.faults.LoseWriteReplies {
		return port.ErrUnknown
	}
	return nil
}

// remove deletes a key. The lock must be held.
func (d *Directory) remove(key string) {
	if _, ok := d.entries[key]; !ok {
		return
	}
	d.revision++
	delete(d.entries, key)
	d.appendHistory(port.Entry{Key: key, Version: d.revision, Removed: true})
}

// appendHistory appends to the history and wakes all watches. The lock must be held.
func (d *Directory) appendHistory(e port.Entry) {
	d.history = append(d.history, e)
	d.notifyWatchers()
}

// notifyWatchers makes all watches check for changes. The lock must be held.
func (d *Directory) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}
