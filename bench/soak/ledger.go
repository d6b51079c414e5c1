package soak

import (
	"fmt"
	"sync"
	"time"
)

// runsOn is how long an upstream may still work after the last caller has left.
const runsOn = time.Second

// entry is what is known of one attempt.
type entry struct {
	once   bool // It may run only once.
	sent   string
	runs   int
	denied bool // The caller was told that it has not run and never will.
}

// ledger compares what callers were told with what upstreams ran.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*entry
	found   []string       // Violations.
	ends    map[string]int // Requests by their node and their end, since the last reset.
}

func newLedger() *ledger { return &ledger{entries: map[string]*entry{}, ends: map[string]int{}} }

// noteEnd counts a request by the node that was asked and by how it ended.
func (l *ledger) noteEnd(end string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[end]++
}

// resetEnds returns the count of ends and begins a new one.
func (l *ledger) resetEnds() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.ends
	l.ends = map[string]int{}
	return old
}

func (l *ledger) violate(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.found = append(l.found, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

func (l *ledger) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.found...)
}

// send takes note of a request before it is sent.
func (l *ledger) send(attempt, request string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[attempt] = &entry{once: once, sent: request}
}

// ran takes note of a run, and compares the request with what was sent.
func (l *ledger) ran(attempt, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[attempt]
	switch {
	case e == nil:
		l.found = append(l.found, "UNASKED: "+attempt)
		return
	case e.sent != request:
		l.found = append(l.found, fmt.Sprintf("UNASKED: %s ran as %q, sent as %q", attempt, request, e.sent))
	case e.once && e.runs > 0:
		l.found = append(l.found, "TWICE: "+attempt)
	case e.once && e.denied:
		l.found = append(l.found, "REFUSED, then ran: "+attempt)
	}
	e.runs++
}

// deny takes note that the caller was told that the attempt has not run.
func (l *ledger) deny(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[attempt]
	e.denied = true
	if e.once && e.runs > 0 {
		l.found = append(l.found, "REFUSED after it ran: "+attempt)
	}
}

func (l *ledger) runs(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[attempt].runs
}

// settle waits for what still runs.
func (l *ledger) settle() { time.Sleep(runsOn) }
