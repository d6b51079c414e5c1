package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// settleTime is how long upstreams may still work after the last caller has stopped.
const settleTime = time.Second

// attemptRecord is what the checker has recorded about one attempt.
type attemptRecord struct {
	once    bool // At most one run is allowed.
	request string
	key     string    // Key sent with it, "" for none.
	sentAt  time.Time // When it was sent.
	node    string    // The node that it was sent to.
	runs    int
	refused bool // The caller received a status that promises it never runs.
}

// checker compares the responses that callers received with the requests that
// upstreams ran, and collects violations.
type checker struct {
	mu         sync.Mutex
	attempts   map[string]*attemptRecord
	messages   []string       // Violations.
	outcomes   map[string]int // Requests by node and outcome, since the last reset.
	smallRuns  []span         // First runs of the small account's requests.
	statements *statements
}

// span holds when a request was sent and when it first reached an upstream.
type span struct{ sent, ran time.Time }

// newChecker returns a checker. With statements, it reports violations of what upstreams say of
// themselves.
func newChecker(withStatements bool) *checker {
	return &checker{attempts: map[string]*attemptRecord{}, outcomes: map[string]int{}, statements: newStatements(withStatements)}
}

// countOutcome counts a request by its node and outcome.
func (c *checker) countOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

// resetOutcomes returns the counts of outcomes and clears them.
func (c *checker) resetOutcomes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.outcomes
	c.outcomes = map[string]int{}
	return old
}

func (c *checker) violate(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages = append(c.messages, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

func (c *checker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.messages...)
}

// recordSent records a request. It is called before the request is sent.
func (c *checker) recordSent(n *node, attempt, request string, once bool, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[attempt] = &attemptRecord{once: once, request: request, key: key, sentAt: time.Now(), node: n.name}
}

// recordArrival records that an attempt has reached an incarnation of an upstream.
func (c *checker) recordArrival(attempt, stamp string) {
	c.mu.Lock()
	e := c.attempts[attempt]
	c.mu.Unlock()
	if e == nil {
		return // recordRun reports it.
	}
	if late := c.statements.arrived(stamp, e.node, e.sentAt); late > 0 {
		c.violate("DRAIN: %s got %s, sent to %s %v after the drain time since that node passed on that it leaves", stamp, attempt, e.node, late)
	}
}

// recordRun records that an upstream runs an attempt and compares the request with the
// one that was sent.
func (c *checker) recordRun(attempt, request, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.attempts[attempt]
	switch {
	case e == nil:
		c.messages = append(c.messages, "UNASKED: "+attempt)
		return
	case e.request != request:
		c.messages = append(c.messages, fmt.Sprintf("UNASKED: %s ran as %q, sent as %q", attempt, request, e.request))
	case e.once && e.runs > 0:
		c.messages = append(c.messages, "TWICE: "+attempt)
	case e.once && e.refused:
		c.messages = append(c.messages, "REFUSED, then ran: "+attempt)
	}
	if e.key != "" && !slices.Contains(accountsOfKey[e.key], account) {
		c.messages = append(c.messages, fmt.Sprintf("UNASKED: %s ran for account %q", attempt, account))
	}
	if e.key == keySmall && e.runs == 0 {
		c.smallRuns = append(c.smallRuns, span{sent: e.sentAt, ran: time.Now()})
	}
	e.runs++
}

// checkLimit checks that in no window of limitWindow the small account ran more requests
// than its limit and the allowed excess.
func (c *checker) checkLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	nominal := smallRate*limitWindow.Seconds() + smallBurst
	allowed := nominal*(1+limitOver) + limitSlack
	for _, first := range c.smallRuns {
		count := 0
		for _, o := range c.smallRuns {
			if !o.sent.Before(first.sent) && !o.ran.After(first.sent.Add(limitWindow)) {
				count++
			}
		}
		if float64(count) > allowed {
			c.messages = append(c.messages, fmt.Sprintf("QUOTA: %d requests of the small account ran in %v from %v; allowed %v", count, limitWindow, first.sent.Format("05.000"), allowed))
			return
		}
	}
}

// recordRefused records that the caller received a status that promises the attempt
// never runs.
func (c *checker) recordRefused(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.attempts[attempt]
	e.refused = true
	if e.once && e.runs > 0 {
		c.messages = append(c.messages, "REFUSED after it ran: "+attempt)
	}
}

// runs returns how often an attempt has run; 0 if it was not sent.
func (c *checker) runs(attempt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.attempts[attempt]; e != nil {
		return e.runs
	}
	return 0
}

// settle waits until upstreams have finished their remaining work.
func (c *checker) settle() { time.Sleep(settleTime) }
