package stand2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// orderBytes is the size of an order's body.
const orderBytes = 300

// Load sends requests from many clients, each on a kept connection of its own, and keeps what became of them.
type Load struct {
	Method string // GET for idempotent requests, POST for orders, which may run once.
	Key    string // Of the tenant, "" for none.
	mu     sync.Mutex
	sent   []Sent
}

// Sent is a request that was sent.
type Sent struct {
	Attempt string
	Node    *Node
	Kept    bool // The connection had been used before.
	SentAt  time.Time
	Outcome
}

// Run sends requests from clients at a node, one after the other with a pause between, until stop is closed.
func (l *Load) Run(record *Record, n *Node, clients int, pause time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			c := &Client{Address: n.Outbound(), Host: Host, Record: record}
			defer c.Close()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				l.send(c, n, fmt.Sprintf("%s-c%d-%d", n.Name, i, k))
			}
		})
	}
	return &running
}

func (l *Load) send(c *Client, n *Node, attempt string) {
	r := Request{Method: l.Method, Path: "/look/" + attempt, Attempt: attempt, Deadline: 5 * time.Second, Key: l.Key}
	if l.Method == http.MethodPost {
		r.Path, r.Body = "/order/"+attempt, orderBytes
	}
	o := Sent{Attempt: attempt, Node: n, Kept: c.conn != nil, SentAt: time.Now()}
	o.Outcome = c.Do(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, o)
}

// Sent returns what was sent.
func (l *Load) Sent() []Sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Sent(nil), l.sent...)
}

// Lost returns the requests on kept connections that a backend has run and whose connections were then closed without
// an answer, before their clients gave up.
func (l *Load) Lost(backends []*Backend) []Sent {
	ran := map[string]bool{}
	for _, b := range backends {
		for _, r := range b.Runs() {
			ran[r.Attempt] = true
		}
	}
	var out []Sent
	for _, o := range l.Sent() {
		if o.Kept && ran[o.Attempt] && o.Status == 0 && o.Error != nil && !o.TimedUp {
			out = append(out, o)
		}
	}
	return out
}

// Span is when a request was sent and when a backend began to run it.
type Span struct{ SentAt, RanAt time.Time }

// Spans returns the spans of all requests that ran. One that ran more than once counts once, from its first run.
func (l *Load) Spans(backends []*Backend) []Span {
	first := map[string]time.Time{}
	for _, b := range backends {
		for _, r := range b.Runs() {
			if at, ok := first[r.Attempt]; !ok || r.At.Before(at) {
				first[r.Attempt] = r.At
			}
		}
	}
	var out []Span
	for _, o := range l.Sent() {
		if at, ok := first[o.Attempt]; ok {
			out = append(out, Span{SentAt: o.SentAt, RanAt: at})
		}
	}
	return out
}
