package mesh

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// endsUnder is how many upstreams may end under a request before it is known.
	endsUnder = 3
	// sendsAfter is how many times it may reach one after that.
	sendsAfter = 3
	// awayTime is how long an upstream that has ended is away.
	awayTime = 60 * time.Millisecond
)

// endingRequest makes every upstream of a bed end that begins a request for its path.
type endingRequest struct {
	bed  *bed
	path string
	sent atomic.Int32 // How often it reached an upstream.
}

// plant lets the upstreams of all nodes end under the path.
func (b *bed) plant(path string) *endingRequest {
	e := &endingRequest{bed: b, path: path}
	for _, n := range b.nodes {
		n.upstream.setWork(func(r *http.Request) {
			if r.URL.Path != path {
				return
			}
			e.sent.Add(1)
			go e.end(n)
			<-r.Context().Done() // Its connection breaks with the process.
		})
	}
	return e
}

// end ends a node's upstream, which reports itself when it is back.
func (e *endingRequest) end(n *testNode) {
	if !assert.NoError(e.bed.t, n.upstream.end(awayTime)) {
		return
	}
	_, err := n.sendReport(1, false)
	assert.NoError(e.bed.t, err)
}

// ask sends the request at a node, under a new attempt's name, and returns the answer.
func (e *endingRequest) ask(n *testNode, method string, number int) *http.Response {
	e.bed.t.Helper()
	r, _, err := n.ask(context.Background(), method, e.path, fmt.Sprintf("ending-%d", number))
	require.NoError(e.bed.t, err)
	return r
}

// Upstreams of a service ended one after the other, each with all that it had in hand,
// until hardly a request of the service was served. One request did it: whatever began it
// ended. Its gate took that for a broken attempt, the ingress sent it to the next gate,
// and as nothing was remembered but names of attempts, it did the same whenever its
// caller sent it again, at any node. Two gates of one attempt wrote, 94 ms apart,
//
//	attempt without a good answer ... outcome=broken took=70 detail="answer: unexpected EOF"
//	attempt without a good answer ... outcome=broken took=88 detail="answer: unexpected EOF"
//
// and 22 upstreams ended in 11 seconds, all of the one service, with three attempts in
// hand at 19 of them, while the budget for repeats was hardly touched.
func TestRequestThatEndsUpstreams(t *testing.T) {
	for _, c := range []struct{ name, method, path string }{
		{"retryable", http.MethodGet, "/look/ending"},
		{"order", http.MethodPost, "/write/ending"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t)
			b.addBirths(6)
			b.meet()
			e := b.plant(c.path)
			for i := range 24 {
				e.ask(b.nodes[i%len(b.nodes)], c.method, i)
				time.Sleep(awayTime / 2) // Or all upstreams would be away.
			}
			assert.LessOrEqual(t, int(e.sent.Load()), endsUnder+sendsAfter, "upstreams that it reached")
			b.meet()
			assert.Equal(t, http.StatusOK, b.nodes[0].status(http.MethodGet, "/look/other", "x1"), "another request")
		})
	}
}
