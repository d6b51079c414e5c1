package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// endsUnder is how many upstreams may end under a request before it must be known,
	// and sendsAfter how many times it may reach one later than contactTime after that,
	// sent by nodes in touch: the users' bound.
	endsUnder   = 3
	sendsAfter  = 3
	contactTime = 3 * time.Second
	// endingPause is the mean pause between two sendings of such a request.
	endingPause = 400 * time.Millisecond
	// An upstream that has ended is away for awayLeast to awayMost.
	awayLeast = 300 * time.Millisecond
	awayMost  = 1500 * time.Millisecond
)

// ending is a request that ends every upstream which begins it. It comes again and again,
// at any node, under another attempt's name each time.
type ending struct {
	method, path string
	mu           sync.Mutex
	ends         int
	third        time.Time // When the third upstream ended.
	late         int       // How often it reached an upstream after that.
}

// newEndings returns a lookup and an order.
func newEndings() map[string]*ending {
	out := map[string]*ending{}
	for _, e := range []*ending{{method: http.MethodGet, path: "/look/ending"}, {method: http.MethodPost, path: "/order/ending"}} {
		out[e.path] = e
	}
	return out
}

// arrived takes note that the request has reached an upstream, from a node in touch or not.
func (e *ending) arrived(inTouch bool, l *ledger) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.third.IsZero() || time.Since(e.third) <= contactTime || !inTouch {
		return
	}
	if e.late++; e.late == sendsAfter+1 {
		l.violate("BUDGET: %s reached upstreams %d times later than %v after it had ended %d", e.path, e.late, contactTime, endsUnder)
	}
}

// ended takes note that an upstream ends under it.
func (e *ending) ended() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ends++; e.ends == endsUnder {
		e.third = time.Now()
	}
}

// sendEnding sends the request to nodes drawn by chance until ctx ends.
func (s *soak) sendEnding(ctx context.Context, e *ending) {
	client := &http.Client{Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("s%d%s-%d", s.options.Seed, strings.ReplaceAll(e.path, "/", "-"), i)
		s.sendEndingOnce(ctx, client, e, s.nodes[rand.IntN(len(s.nodes))], attempt)
		time.Sleep(endingPause/2 + rand.N(endingPause))
	}
}

func (s *soak) sendEndingOnce(ctx context.Context, client *http.Client, e *ending, n *node, attempt string) {
	r, err := http.NewRequestWithContext(ctx, e.method, "http://"+n.callers+e.path, nil)
	if err != nil {
		s.ledger.violate("harness: %v", err)
		return
	}
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	s.ledger.send(attempt, e.method+" "+e.path+" ", e.method == http.MethodPost, "")
	answer, err := client.Do(r)
	if err != nil {
		return // Its node may be away, which other callers judge.
	}
	defer answer.Body.Close() //nolint:errcheck // Nothing is written to it.
	text, _ := io.ReadAll(answer.Body)
	s.check(n, attempt, "", answer.StatusCode, string(text), nil)
}

// end ends the upstream's process with all that it has in hand; after a pause it is back
// at its address as another incarnation, half of the time under the id that it had.
func (u *upstream) end(ctx context.Context) {
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.mu.Unlock()
	if server == nil {
		return // Another such request has ended it already.
	}
	_ = server.Close()
	select {
	case <-ctx.Done():
		return
	case <-time.After(awayLeast + rand.N(awayMost-awayLeast)):
	}
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		u.ledger.violate("harness: upstream not back: %v", err)
		return
	}
	u.renew(rand.IntN(2) == 0)
	u.serve(ctx, listener)
}
