package proxy

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"eiderfold/config"
	"eiderfold/core"
	"eiderfold/result"
)

// Service balances a service's requests over its upstreams. The rotation is read
// without a lock and replaced as a whole.
type Service struct {
	name        string
	policy      atomic.Pointer[config.Service]
	rotation    atomic.Pointer[rotation]
	freed       chan struct{} // Signals a released slot to waiting requests.
	waiting     atomic.Int32  // Requests that wait for a slot.
	retryTokens atomic.Int64  // Retry budget in units of 1/tokenUnit retry.
	meanNanos   atomic.Int64  // Moving average of the time a slot is held.
}

// rotation is a list of upstreams with their weights, immutable except for nextTrial.
type rotation struct {
	upstreams      []*Upstream
	weights        []float64 // Local weight times the weight of the ejection state.
	phases         []core.Phase
	ejectionsUntil time.Time      // After it localWeights apply.
	nextTrial      []atomic.Int64 // Unix nanoseconds; the earliest next trial request.
	localWeights   []float64      // Without ejections.
}

const (
	tokenUnit      = 1000                   // One retry.
	maxRetryTokens = 20 * tokenUnit         // Bounds a burst of retries.
	trialPeriod    = 500 * time.Millisecond // Per node and upstream, so that a sick upstream gets few.
	freedBuffer    = 1024                   // Capacity of Service.freed.
	meanDivisor    = 16                     // Each sample moves the average by 1/meanDivisor.
	pollInterval   = 20 * time.Millisecond  // Other nodes' released slots are not signalled.
	shedPause      = 100 * time.Millisecond // Without requests to an upstream that sheds.
	minRetryAfter  = time.Second
)

// NewService returns a service without upstreams.
func NewService(policy *config.Service) *Service {
	s := &Service{name: policy.Name(), freed: make(chan struct{}, freedBuffer)}
	s.policy.Store(policy)
	s.rotation.Store(&rotation{})
	s.retryTokens.Store(maxRetryTokens / 2)
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Policy returns the service's settings in the template.
func (s *Service) Policy() *config.Service { return s.policy.Load() }

// SetPolicy replaces the settings when a new version of the template applies.
func (s *Service) SetPolicy(p *config.Service) { s.policy.Store(p) }

// Upstreams returns the upstreams in rotation; do not change the slice.
func (s *Service) Upstreams() []*Upstream { return s.rotation.Load().upstreams }

// Share is an upstream with its ejection phase and its weights.
type Share struct {
	Upstream    *Upstream
	Phase       core.Phase
	Weight      float64 // Local weight times the weight of the ejection state.
	LocalWeight float64 // Local weight, times the ramp weight while ramping; ignores ejections.
}

// Rotate replaces the rotation. Ejections apply until deadline, by this node's
// clock; after it every upstream is back in rotation with its local weight.
func (s *Service) Rotate(shares []Share, deadline time.Time) {
	r := &rotation{ejectionsUntil: deadline, nextTrial: make([]atomic.Int64, len(shares))}
	old := s.rotation.Load()
	for i, share := range shares {
		r.upstreams = append(r.upstreams, share.Upstream)
		r.weights = append(r.weights, share.Weight)
		r.phases = append(r.phases, share.Phase)
		r.localWeights = append(r.localWeights, share.LocalWeight)
		// Jitter, so that the nodes do not all send trials at the same time.
		r.nextTrial[i].Store(time.Now().Add(rand.N(trialPeriod)).UnixNano())
		for k, u := range old.upstreams {
			if u == share.Upstream && old.phases[k] == core.Trial {
				r.nextTrial[i].Store(old.nextTrial[k].Load())
			}
		}
	}
	s.rotation.Store(r)
}

// pick chooses an upstream by weight, the less loaded of two random ones, and takes
// a slot of it. It returns nil if none has a free slot. trial allows the choice of
// an upstream on trial.
func (s *Service) pick(now time.Time, trial bool, tried []*Upstream) *Upstream {
	r := s.rotation.Load()
	slots := s.Policy().Slots()
	if trial && now.Before(r.ejectionsUntil) {
		if u := r.pickTrial(now, tried, slots); u != nil {
			return u
		}
	}
	weights := r.weightsAt(now)
	first, second := r.pickWeighted(weights, now, tried), r.pickWeighted(weights, now, tried)
	if first < 0 {
		return nil
	}
	if second >= 0 && r.load(second, weights) < r.load(first, weights) {
		first = second
	}
	if u := r.upstreams[first]; u.tryAcquire(slots) {
		return u
	}
	return r.pickAnyFree(weights, now, tried, slots)
}

// weightsAt returns the weights that apply at a time: ejections expire with their
// lease.
func (r *rotation) weightsAt(now time.Time) []float64 {
	if now.Before(r.ejectionsUntil) {
		return r.weights
	}
	return r.localWeights
}

// pickWeighted returns the index of an eligible upstream, drawn at random by weight,
// or -1 if there is none.
func (r *rotation) pickWeighted(weights []float64, now time.Time, tried []*Upstream) int {
	sum := 0.0
	for i, w := range weights {
		if r.eligible(i, now, tried) {
			sum += w
		}
	}
	if sum <= 0 {
		return -1
	}
	x := rand.Float64() * sum
	last := -1
	for i, w := range weights {
		if w <= 0 || !r.eligible(i, now, tried) {
			continue
		}
		last = i
		if x -= w; x < 0 {
			return i
		}
	}
	return last
}

// eligible reports whether an upstream has not been tried, is not leaving and has
// not shed load within shedPause.
func (r *rotation) eligible(i int, now time.Time, tried []*Upstream) bool {
	u := r.upstreams[i]
	if u.leaving.Load() || u.shedUntil.Load() > now.UnixNano() {
		return false
	}
	for _, t := range tried {
		if t == u {
			return false
		}
	}
	return true
}

// load returns an upstream's requests in flight from all nodes, relative to its
// weight.
func (r *rotation) load(i int, weights []float64) float64 {
	u := r.upstreams[i]
	return float64(u.inFlight.Load()+u.othersInFlight.Load()+1) / weights[i]
}

// pickAnyFree takes a slot of any eligible upstream, starting at a random one. It
// returns nil if none has a free slot.
func (r *rotation) pickAnyFree(weights []float64, now time.Time, tried []*Upstream, slots int) *Upstream {
	start := rand.IntN(len(r.upstreams))
	for k := range r.upstreams {
		i := (start + k) % len(r.upstreams)
		if weights[i] > 0 && r.eligible(i, now, tried) && r.upstreams[i].tryAcquire(slots) {
			return r.upstreams[i]
		}
	}
	return nil
}

// pickTrial takes a slot of an upstream on trial, at most once per trialPeriod for
// each. It returns nil if no trial is due.
func (r *rotation) pickTrial(now time.Time, tried []*Upstream, slots int) *Upstream {
	for i, p := range r.phases {
		if p != core.Trial || !r.eligible(i, now, tried) {
			continue
		}
		next := r.nextTrial[i].Load()
		if now.UnixNano() < next || !r.nextTrial[i].CompareAndSwap(next, now.Add(trialPeriod).UnixNano()) {
			continue
		}
		if u := r.upstreams[i]; u.InFlight() == 0 && u.tryAcquire(slots) {
			return u
		}
	}
	return nil
}

// acquire waits for a slot while the request can still finish before the deadline.
// It refuses at once if the expected wait is too long.
func (s *Service) acquire(ctx context.Context, deadline time.Time, trial bool, tried []*Upstream) (*Upstream, *result.Error) {
	now := time.Now()
	if u := s.pick(now, trial, tried); u != nil {
		return u, nil
	}
	if s.countEligible(now, tried) == 0 {
		return nil, s.noUpstreamResult()
	}
	expected := s.expectedWait()
	// Work that starts with less time left than the mean would likely miss the
	// deadline, and its outcome would be unknown instead of not run.
	latest := deadline.Add(-time.Duration(s.meanNanos.Load()))
	if now.Add(expected).After(latest) {
		return nil, result.New(result.Overloaded, "every slot of "+s.name+" is taken").WithRetryAfter(max(expected, minRetryAfter))
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-s.freed:
		case <-poll.C:
		case <-timer.C:
			return nil, result.New(result.Overloaded, "no slot of "+s.name+" came free").WithRetryAfter(max(expected, minRetryAfter))
		case <-ctx.Done():
			return nil, result.New(result.CallerGone, "the caller went away")
		}
		if u := s.pick(time.Now(), trial, tried); u != nil {
			return u, nil
		}
	}
}

// noUpstreamResult returns the result for a service without an eligible upstream.
func (s *Service) noUpstreamResult() *result.Error {
	r := s.rotation.Load()
	now := time.Now()
	for _, u := range r.upstreams {
		if left := u.shedUntil.Load() - now.UnixNano(); left > 0 {
			return result.New(result.UpstreamShed, "every upstream of "+s.name+" sheds").WithRetryAfter(max(time.Duration(left), minRetryAfter))
		}
	}
	return result.New(result.NoUpstream, "no upstream of "+s.name+" is live").WithRetryAfter(minRetryAfter)
}

// countEligible returns the number of upstreams that may get the request, whether
// or not they have a free slot.
func (s *Service) countEligible(now time.Time, tried []*Upstream) int {
	r := s.rotation.Load()
	n := 0
	for i, w := range r.weightsAt(now) {
		if w > 0 && r.eligible(i, now, tried) {
			n++
		}
	}
	return n
}

// expectedWait estimates how long a request that starts to wait now waits for a
// slot.
func (s *Service) expectedWait() time.Duration {
	slots := max(len(s.Upstreams())*s.Policy().Slots(), 1)
	ahead := int64(s.waiting.Load()) + 1
	return time.Duration(s.meanNanos.Load() * ahead / int64(slots))
}

// releaseSlot releases a slot that was held for a time, and wakes a waiting request.
func (s *Service) releaseSlot(u *Upstream, took time.Duration) {
	u.release()
	old := s.meanNanos.Load()
	s.meanNanos.CompareAndSwap(old, old+(int64(took)-old)/meanDivisor)
	if s.waiting.Load() == 0 {
		return
	}
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// addRetryTokens adds one request's contribution to the retry budget.
func (s *Service) addRetryTokens() {
	earned := int64(s.Policy().RetryBudget() * tokenUnit)
	if s.retryTokens.Load() < maxRetryTokens {
		s.retryTokens.Add(earned)
	}
}

// takeRetryToken takes one retry from the budget and reports whether there was one.
// Retries are thus bounded by the budget's share of the requests plus the saved
// tokens, about maxRetryTokens at most.
func (s *Service) takeRetryToken() bool {
	for {
		n := s.retryTokens.Load()
		if n < tokenUnit {
			return false
		}
		if s.retryTokens.CompareAndSwap(n, n-tokenUnit) {
			return true
		}
	}
}
