package gate

import (
	"sync"
	"time"

	"eiderfold/port"
	"eiderfold/quarantine"
)

const (
	// abandonedWindow is how long before the upstream's last activity an attempt may have been
	// abandoned and still count as a possible cause of its crash: about the longest run time.
	abandonedWindow = 1 * time.Second
	// maxAbandoned bounds the list; a slot abandons a few attempts within abandonedWindow.
	maxAbandoned = 64
)

// abandonedAttempt is an attempt that the gate canceled. The upstream may go on running it, so
// a request that crashes upstreams would go unnoticed if its callers always left first.
type abandonedAttempt struct {
	fingerprint quarantine.Fingerprint
	upstream    port.Incarnation
	started, at time.Time
}

// abandonedList holds the most recently abandoned attempts.
type abandonedList struct {
	mu   sync.Mutex
	list []abandonedAttempt
}

// add appends an attempt and evicts the oldest one when the list is full.
func (l *abandonedList) add(a abandonedAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) >= maxAbandoned {
		l.list = l.list[1:]
	}
	l.list = append(l.list, a)
}

// take removes all attempts of an upstream from the list and returns those that were abandoned
// since a time.
func (l *abandonedList) take(upstream port.Incarnation, since time.Time) []abandonedAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken, rest []abandonedAttempt
	for _, a := range l.list {
		switch {
		case a.upstream != upstream:
			rest = append(rest, a)
		case !a.at.Before(since):
			taken = append(taken, a)
		}
	}
	l.list = rest
	return taken
}

// attributeCrash reports the crash of an upstream to the tracker for each recently abandoned
// attempt that it may still have been running.
func (g *Gate) attributeCrash(upstream port.Incarnation) {
	g.mu.Lock()
	since := g.lastActivity.Add(-abandonedWindow)
	g.mu.Unlock()
	for _, a := range g.abandoned.take(upstream, since) {
		g.tracker.Crashed(time.Now(), a.fingerprint, upstream.String(), a.started)
	}
}

// markActive records activity of the current upstream.
func (g *Gate) markActive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastActivity = time.Now()
}
