package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"eiderfold/port"
)

// List is a port.InstanceList in memory. Use NewList; the zero value is not usable.
type List struct {
	mu       sync.Mutex
	services map[string]map[string]port.Instance // By service and instance name.
	index    uint64                              // Of the last change.
	changed  chan struct{}                       // Closed and replaced with every change.
}

// NewList returns an empty list.
func NewList() *List {
	return &List{services: map[string]map[string]port.Instance{}, index: 1, changed: make(chan struct{})}
}

// Put adds or replaces an instance of a service.
func (l *List) Put(service string, i port.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services[service] == nil {
		l.services[service] = map[string]port.Instance{}
	}
	l.services[service][i.Name] = i
	l.recordChange()
}

// Remove removes an instance from a service.
func (l *List) Remove(service, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.services[service], name)
	l.recordChange()
}

// Find returns an instance and the service it belongs to.
func (l *List) Find(name string) (service string, i port.Instance, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, members := range l.services {
		if found, ok := members[name]; ok {
			return s, found, true
		}
	}
	return "", port.Instance{}, false
}

// Instances implements port.InstanceList.
func (l *List) Instances(ctx context.Context, service string, index uint64) ([]port.Instance, uint64, error) {
	for {
		l.mu.Lock()
		found := make([]port.Instance, 0, len(l.services[service]))
		for _, i := range l.services[service] {
			found = append(found, i)
		}
		newest, changed := l.index, l.changed
		l.mu.Unlock()
		slices.SortFunc(found, func(a, b port.Instance) int { return strings.Compare(a.Name, b.Name) })
		if newest > index {
			return found, newest, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found, newest, nil
		}
	}
}

// recordChange increments the index and wakes waiting calls. The lock must be held.
func (l *List) recordChange() {
	l.index++
	close(l.changed)
	l.changed = make(chan struct{})
}
