package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// evacuateTime is how long after it was asked for an evacuation work may still come.
	evacuateTime = 3 * time.Second
	// evacuationMost is how long a data centre is evacuated at the most.
	evacuationMost = 8 * time.Second
	// copyMost is how old the copy is at the most from which the store is restored.
	copyMost = 3 * time.Second
)

// evacuations are the data centres that are to get nothing, one at a time: the other one
// serves.
type evacuations struct {
	one   sync.Mutex // Held while a data centre is evacuated.
	mu    sync.Mutex
	since map[string]time.Time
}

// of returns since when a data centre is to get nothing; zero if it may.
func (e *evacuations) of(dataCentre string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since[dataCentre]
}

func (e *evacuations) set(dataCentre string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at.IsZero() {
		delete(e.since, dataCentre)
		return
	}
	e.since[dataCentre] = at
}

func evacuationKey(dataCentre string) string { return "op/evacuate/" + dataCentre }

// evacuate asks that a node's data centre gets nothing for a time.
func (s *soak) evacuate(ctx context.Context, n *node) string {
	s.evacuations.one.Lock()
	defer s.evacuations.one.Unlock()
	key, store := evacuationKey(n.dataCentre), s.store.Directory()
	s.mu.Lock()
	err := store.Put(ctx, key, []byte("{}"))
	s.evacuations.set(n.dataCentre, time.Now())
	s.mu.Unlock()
	if err != nil {
		return "no evacuation: " + err.Error()
	}
	time.Sleep(s.draw(evacuationMost))
	s.mu.Lock()
	s.evacuations.set(n.dataCentre, time.Time{})
	err = store.Remove(ctx, key)
	s.mu.Unlock()
	if err != nil {
		return "evacuation not ended: " + err.Error()
	}
	return "evacuated " + n.dataCentre
}

// restoreStore brings the store back from a copy of some time ago. Operators write again
// what it lacks.
func (s *soak) restoreStore(ctx context.Context, _ *node) string {
	store := s.store.Directory()
	copied := store.Copy()
	age := s.draw(copyMost)
	time.Sleep(age)
	s.mu.Lock()
	defer s.mu.Unlock()
	store.Restore(copied)
	if err := store.Put(ctx, "op/config", configurationText(s.version, s.options.Accounts)); err != nil {
		return "store restored without its configuration: " + err.Error()
	}
	for i := range dataCentres {
		name := dataCentreName(i)
		var err error
		if s.evacuations.of(name).IsZero() {
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

// checkEvacuated looks whether an upstream gets work though its data centre is evacuated.
func (u *upstream) checkEvacuated(attempt string) {
	at := u.evacuated()
	if !at.IsZero() && time.Since(at) > evacuateTime && u.inTouch() {
		u.ledger.violate("EVAC: %s got %s %v after its data centre was to get nothing", u.address, attempt, time.Since(at))
	}
}
