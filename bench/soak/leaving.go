package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"eiderfold/bench/standin"
)

const (
	// maxServing is how much longer than drainDuration a leaving upstream may serve.
	maxServing = 3 * time.Second
	// One heartbeat in lateEvery arrives late, by up to maxLate.
	lateEvery = 7
	maxLate   = 4 * time.Second
	// leavingSeed distinguishes the random source of leaving upstreams from that of the faults.
	leavingSeed = 2
)

// leavingRandom is the random source of leaving upstreams. It is safe for concurrent use.
type leavingRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLeavingRandom(seed uint64) *leavingRandom {
	return &leavingRandom{random: rand.New(rand.NewPCG(seed, leavingSeed))}
}

func (r *leavingRandom) below(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// duration returns a duration of up to limit.
func (r *leavingRandom) duration(limit time.Duration) time.Duration {
	return time.Duration(r.below(int(limit)))
}

// lateness returns how late the next heartbeat of an upstream arrives, mostly 0.
func (s *soak) lateness() time.Duration {
	if !s.options.Leaving || s.leaving.below(lateEvery) > 0 {
		return 0
	}
	return s.leaving.duration(maxLate)
}

// disturbance is what happens to a node right after it has acknowledged that its upstream leaves.
type disturbance struct {
	name   string
	inject func(s *soak, n *node)
}

var disturbances = []disturbance{
	{"nothing", func(*soak, *node) {}},
	{"pause", func(s *soak, n *node) { n.pause(drainGrace + s.leaving.duration(time.Second)) }},
	{"kill", func(_ *soak, n *node) { n.restart(syscall.SIGKILL) }},
	{"stop", func(_ *soak, n *node) { n.restart(syscall.SIGTERM) }},
	{"kill without the store", func(s *soak, n *node) {
		s.store.SetFaults(standin.MetadataFaults{Busy: true})
		n.restart(syscall.SIGKILL)
		time.Sleep(s.leaving.duration(maxServing))
		s.store.SetFaults(standin.MetadataFaults{})
	}},
}

// leave makes an upstream leave: it reports "draining" or deregisters first, goes on serving, and starts
// again. Its health answers may be false meanwhile. Right after the acknowledgement its node is disturbed.
func (s *soak) leave(ctx context.Context, n *node) string {
	u := n.upstream
	u.draining.Lock()
	defer u.draining.Unlock()
	deregisters, lies := s.leaving.below(2) == 0, s.leaving.below(2) == 0
	d := disturbances[s.leaving.below(len(disturbances))]
	u.beginLeaving(deregisters, lies)
	if deregisters {
		u.deregister(ctx)
	} else {
		u.heartbeat(ctx)
	}
	end := s.markAffected(allNodes, n)
	d.inject(s, n)
	end()
	time.Sleep(drainDuration + s.leaving.duration(maxServing))
	u.newIncarnation(false)
	return fmt.Sprintf("upstream of %s left (deregistered first: %v, healthy by its answers: %v), then %s", n.name, deregisters, lies, d.name)
}

// beginLeaving sets what the upstream says of itself from now on.
func (u *upstream) beginLeaving(deregisters, lies bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state, u.silent, u.lies = "draining", deregisters, lies
}

// deregister sends the final report of this incarnation until it is acknowledged, three times at most.
func (u *upstream) deregister(ctx context.Context) {
	u.mu.Lock()
	id := u.id
	u.mu.Unlock()
	for range 3 {
		if u.report(ctx, "instances.deregister", id, "") {
			u.noteAcknowledged(id)
			return
		}
		time.Sleep(heartbeatInterval)
	}
}

// report sends a report and returns whether it was acknowledged within a second.
func (u *upstream) report(ctx context.Context, call, id, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.reportAddress+"/-/rpc?call="+call+"&of="+id, strings.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// noteAcknowledged records that the leaving of an incarnation was acknowledged.
func (u *upstream) noteAcknowledged(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.drainingSince.IsZero() && u.id == id {
		u.drainingSince = time.Now()
	}
}
