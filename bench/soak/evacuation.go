package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// evacuationGrace is how long after the start of an evacuation requests may still arrive.
	evacuationGrace = 3 * time.Second
	// maxEvacuation is the longest duration of an evacuation.
	maxEvacuation = 8 * time.Second
	// maxCopyAge is the largest age of a copy from which the store is restored.
	maxCopyAge = 3 * time.Second
)

// evacuations holds the data centres under evacuation. At most one is evacuated at a time,
// so that the other one serves.
type evacuations struct {
	serial sync.Mutex // Held for the duration of an evacuation.
	mu     sync.Mutex
	start  map[string]time.Time
}

// since returns when the evacuation of a data centre began; the zero time if there is none.
func (e *evacuations) since(dataCentre string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start[dataCentre]
}

func (e *evacuations) set(dataCentre string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.IsZero() {
		delete(e.start, dataCentre)
		return
	}
	e.start[dataCentre] = at
}

func evacuationKey(dataCentre string) string { return "op/evacuate/" + dataCentre }

// evacuate evacuates a node's data centre for a random time.
func (s *soak) evacuate(ctx context.Context, n *node) string {
	s.evacuations.serial.Lock()
	defer s.evacuations.serial.Unlock()
	key, store := evacuationKey(n.dataCentre), s.store.Directory()
	s.mu.Lock()
	err := store.Put(ctx, key, []byte("{}"))
	s.evacuations.set(n.dataCentre, time.Now())
	s.mu.Unlock()
	if err != nil {
		return "evacuation not set: " + err.Error()
	}
	time.Sleep(s.randomDuration(maxEvacuation))
	s.mu.Lock()
	s.evacuations.set(n.dataCentre, time.Time{})
	err = store.Remove(ctx, key)
	s.mu.Unlock()
	if err != nil {
		return "evacuation not removed: " + err.Error()
	}
	return "evacuated " + n.dataCentre
}

// restoreStore replaces the store's content by an older copy and then writes the current
// configuration and evacuations again, as operators do after a restore.
func (s *soak) restoreStore(ctx context.Context, _ *node) string {
	store := s.store.Directory()
	backup := store.Backup()
	age := s.randomDuration(maxCopyAge)
	time.Sleep(age)
	s.mu.Lock()
	defer s.mu.Unlock()
	store.Restore(backup)
	if err := store.Put(ctx, "op/config", configurationText(s.version, s.options)); err != nil {
		return "store restored without its configuration: " + err.Error()
	}
	for i := range dataCentres {
		name := dataCentreName(i)
		var err error
		if s.evacuations.since(name).IsZero() {
			err = store.Remove(ctx, evacuationKey(name))
		} else {
			err = store.Put(ctx, evacuationKey(name), []byte("{}"))
		}
		if err != nil {
			return "store restored without evacuations: " + err.Error()
		}
	}
	return fmt.Sprintf("store restored from a copy of %v ago", age)
}

// checkEvacuated reports a request that arrives later than evacuationGrace after its data
// centre was evacuated, unless the node beside the upstream is not connected.
func (u *upstream) checkEvacuated(attempt string) {
	at := u.evacuatedSince()
	if !at.IsZero() && time.Since(at) > evacuationGrace && u.nodeConnected() {
		u.checker.violate("EVAC: %s got %s %v after its data centre was to get nothing", u.address, attempt, time.Since(at))
	}
}
