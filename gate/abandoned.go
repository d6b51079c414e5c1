package gate

import (
	"sync"
	"time"

	"eiderfold/port"
	"eiderfold/quarantine"
)

const (
	// abandonedTime is how long before the last sign of life of an upstream an attempt may
	// have been broken off from this side and have ended it since: about the longest work.
	abandonedTime = 1 * time.Second
	// abandonedKept is how many of them are remembered; a slot sees a few in that time.
	abandonedKept = 64
)

// abandoned is an attempt that was broken off from this side. Its upstream may go on with
// it: one under which upstreams end would be missed whose caller leaves before that.
type abandoned struct {
	print     quarantine.Print
	upstream  port.Incarnation
	began, at time.Time
}

// abandonedList holds the latest ones.
type abandonedList struct {
	mu   sync.Mutex
	list []abandoned
}

// note adds one, in place of the oldest if there are too many.
func (l *abandonedList) note(a abandoned) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) >= abandonedKept {
		l.list = l.list[1:]
	}
	l.list = append(l.list, a)
}

// take returns, once, those of an upstream that were broken off since a time.
func (l *abandonedList) take(upstream port.Incarnation, since time.Time) []abandoned {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken, rest []abandoned
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

// blameAbandoned takes note that an upstream has ended that may have run what was
// broken off.
func (g *Gate) blameAbandoned(upstream port.Incarnation) {
	g.mu.Lock()
	since := g.alive.Add(-abandonedTime)
	g.mu.Unlock()
	for _, a := range g.abandoned.take(upstream, since) {
		g.book.Ended(time.Now(), a.print, upstream.String(), a.began)
	}
}

// noteAlive takes note of a sign of life of the upstream that is there.
func (g *Gate) noteAlive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alive = time.Now()
}
