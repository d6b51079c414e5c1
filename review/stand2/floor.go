package stand2

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the rule FLOOR.
const (
	floorWindow   = 2 * time.Second
	floorShare    = 0.7
	floorUnserved = 0.1 // More than this share is not served,
	floorServed   = 0.5 // but less than that.
	// SoundAfter is how long after a disruption a backend counts as sound: twice contactMs.
	SoundAfter = 6 * time.Second
)

// Arrivals sends requests at a constant rate, each on a new connection to the next node.
type Arrivals struct {
	Every    time.Duration
	Deadline time.Duration
	mu       sync.Mutex
	sent     []Sent
}

// Run sends requests until stop is closed, and returns when all are answered.
func (a *Arrivals) Run(record *Record, nodes []*Node, stop <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	t := time.NewTicker(a.Every)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		n := nodes[i%len(nodes)]
		running.Go(func() { a.send(record, n, fmt.Sprintf("%s-r%d", n.Name, i)) })
	}
}

func (a *Arrivals) send(record *Record, n *Node, attempt string) {
	c := &Client{Address: n.Outbound(), Host: Host, Record: record}
	defer c.Close()
	s := Sent{Attempt: attempt, Node: n, SentAt: time.Now()}
	s.Outcome = c.Do(Request{Method: "POST", Path: "/order/" + attempt, Attempt: attempt, Deadline: a.Deadline, Body: orderBytes})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = append(a.sent, s)
}

// FloorBroken applies the rule FLOOR from a time on, at which all backends are sound, and reports whether it was broken
// in some window. The windows are taken every tenth of a second.
func (a *Arrivals) FloorBroken(record *Record, backends []*Backend, from, until time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	windows, broken := 0, 0
	for at := from; !at.Add(floorWindow).After(until); at = at.Add(100 * time.Millisecond) {
		end := at.Add(floorWindow)
		sent, unserved := 0, 0
		for _, s := range a.sent {
			if s.SentAt.Before(at) || !s.SentAt.Before(end) {
				continue
			}
			sent++
			if s.Status/100 != 2 {
				unserved++
			}
		}
		reached := 0
		for _, b := range backends {
			if b.reachedBetween(at, end) {
				reached++
			}
		}
		windows++
		missed := float64(unserved) / float64(max(sent, 1))
		share := float64(reached) / float64(len(backends))
		if missed > floorUnserved && missed < floorServed && share > 0 && share < floorShare {
			broken++
			record.Printf("FLOOR: in 2 s, %d of %d requests were not served, and %d of %d sound backends reached", unserved, sent, reached, len(backends))
		}
	}
	record.Result("FLOOR: broken in %d of %d windows of 2 s", broken, windows)
	return broken > 0
}

// reachedBetween reports whether the backend began to run a request in a span.
func (b *Backend) reachedBetween(from, until time.Time) bool {
	for _, r := range b.Runs() {
		if !r.At.Before(from) && r.At.Before(until) {
			return true
		}
	}
	return false
}

// CountRuns writes how many requests each incarnation has run.
func CountRuns(record *Record, backends []*Backend, since time.Time) {
	for i, b := range backends {
		n := 0
		for _, r := range b.Runs() {
			if !r.At.Before(since) {
				n++
			}
		}
		record.Result("backend %d, now %s: %d requests run since all were sound", i, b.ID(), n)
	}
}
