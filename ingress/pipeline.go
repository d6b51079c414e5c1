package ingress

import (
	"net/http"
	"sync"
)

// pipeline orders the requests of one connection (RFC 9112, 9.3.2): those with safe methods run together, any other one
// runs alone, after the earlier ones and before the later ones. Only the goroutine that reads requests uses it.
type pipeline struct {
	earlier *group // What the latest group has to wait for; nil for nothing.
	latest  *group
}

// group is requests that run together.
type group struct {
	sync.WaitGroup
	safe bool // Their methods are safe.
}

// turn is the place of a request in its pipeline.
type turn struct{ earlier, own *group }

// next returns the turn of the next request.
func (p *pipeline) next(method string) turn {
	safe := isSafe(method)
	if p.latest == nil || !safe || !p.latest.safe {
		p.earlier, p.latest = p.latest, &group{safe: safe}
	}
	p.latest.Add(1)
	return turn{earlier: p.earlier, own: p.latest}
}

// await waits until the request may begin. The last group that it has to wait for has itself waited for all before.
func (t turn) await() {
	if t.earlier != nil {
		t.earlier.Wait()
	}
}

// done ends the request's turn.
func (t turn) done() { t.own.Done() }

// isSafe reports whether a method is safe (RFC 9110, 9.2.1): the request changes nothing.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
