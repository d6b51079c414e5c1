package ingress

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// budgetWindow is the time over which the fleet's limit on repeats is counted, and
	// budgetStep the distance between the windows that are checked.
	budgetWindow = 10 * time.Second
	budgetStep   = 100 * time.Millisecond
)

// arrivals counts, by service, what reaches upstreams, independently of what the gates count.
type arrivals map[string]*serviceArrivals

// serviceArrivals holds the requests for a service and the arrivals at its upstreams that repeat one.
type serviceArrivals struct {
	requests []time.Duration // When each request was sent.
	repeats  []time.Duration
	attempts map[string]*attemptArrivals
}

type attemptArrivals struct {
	inRepeat bool // Nested in a run that is itself a repeat, so that its first arrival counts as one.
	arrived  bool
}

func (a arrivals) of(service string) *serviceArrivals {
	if a[service] == nil {
		a[service] = &serviceArrivals{attempts: map[string]*attemptArrivals{}}
	}
	return a[service]
}

// request counts a request for a service.
func (a arrivals) request(service, attempt string, at time.Duration, inRepeat bool) {
	s := a.of(service)
	s.requests = append(s.requests, at)
	s.attempts[attempt] = &attemptArrivals{inRepeat: inRepeat}
}

// arrive counts the arrival of a request at an upstream.
func (a arrivals) arrive(service, attempt string, at time.Duration) {
	s := a.of(service)
	r := s.attempts[attempt]
	if r.arrived || r.inRepeat {
		s.repeats = append(s.repeats, at)
	}
	r.arrived = true
}

// excess describes the window with the most repeats beyond the fleet's limit, "" if there is none.
func (a arrivals) excess(l scenario) string {
	if over, text := a.worst(l); over > 0 {
		return text
	}
	return ""
}

// worst returns by how much the repeats of a window exceed the fleet's limit, and describes the window in which that is
// the most. It is negative if none exceeds it.
func (a arrivals) worst(l scenario) (over float64, text string) {
	over = math.Inf(-1)
	for _, service := range slices.Sorted(maps.Keys(a)) {
		s := a[service]
		for from := time.Duration(0); from < l.Length; from += budgetStep {
			requests := max(within(s.requests, from), within(s.requests, from-budgetWindow/2), within(s.requests, from-budgetWindow))
			repeats := within(s.repeats, from)
			allowed := replayRatio*requests + l.slack(service)
			if repeats-allowed > over {
				over = repeats - allowed
				text = fmt.Sprintf("%s: %v repeats in the window from %v, for %v requests; allowed %.0f", service, repeats, from, requests, allowed)
			}
		}
	}
	return over, text
}

// within counts the times in the window that begins at from.
func within(times []time.Duration, from time.Duration) float64 {
	n := 0.0
	for _, at := range times {
		if at >= from && at < from+budgetWindow {
			n++
		}
	}
	return n
}

// Calls that repeated runs make are repeats at the service called. Together with its own they must
// stay within its limit, whichever of the services fails, and while processes are replaced.
func TestCallsOfRepeatedRunsKeepTheBudget(t *testing.T) {
	forEachScenario(t, "testdata/repeats/*.yaml", func(t *testing.T, l scenario) {
		for seed := range l.Seeds {
			p, err := newReplay(l, seed)
			require.NoError(t, err)
			p.run()
			_, worst := p.arrivals.worst(l)
			t.Logf("seed %d: %s", seed, worst)
			assert.Empty(t, p.arrivals.excess(l), "seed %d", seed)
		}
	})
}
