package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// runsOn is how long an upstream may still work after the last caller has left.
const runsOn = time.Second

// entry is what is known of one attempt.
type entry struct {
	once   bool // It may run only once.
	sent   string
	key    string    // Shown with it, "" for none.
	at     time.Time // When it was sent.
	runs   int
	denied bool // The caller was told that it has not run and never will.
}

// ledger compares what callers were told with what upstreams ran.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*entry
	found   []string       // Violations.
	ends    map[string]int // Requests by their node and their end, since the last reset.
	small   []span         // Requests of the small account that ran, each at its first run.
}

// span is from when a request was sent until it reached an upstream.
type span struct{ sent, ran time.Time }

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
func (l *ledger) send(attempt, request string, once bool, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[attempt] = &entry{once: once, sent: request, key: key, at: time.Now()}
}

// ran takes note of a run, and compares the request with what was sent.
func (l *ledger) ran(attempt, request, account string) {
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
	if e.key != "" && !slices.Contains(holders[e.key], account) {
		l.found = append(l.found, fmt.Sprintf("UNASKED: %s ran for account %q", attempt, account))
	}
	if e.key == keySmall && e.runs == 0 {
		l.small = append(l.small, span{sent: e.at, ran: time.Now()})
	}
	e.runs++
}

// checkLimit looks for a window in which the small account ran more than its limit and
// what is granted above it.
func (l *ledger) checkLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	nominal := smallRate*limitWindow.Seconds() + smallBurst
	most := nominal*(1+limitOver) + limitSlack
	for _, first := range l.small {
		count := 0
		for _, o := range l.small {
			if !o.sent.Before(first.sent) && !o.ran.After(first.sent.Add(limitWindow)) {
				count++
			}
		}
		if float64(count) > most {
			l.found = append(l.found, fmt.Sprintf("QUOTA: %d requests of the small account ran in %v from %v; allowed %v", count, limitWindow, first.sent.Format("05.000"), most))
			return
		}
	}
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
