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

// Service balances one service's work over its upstreams. The rotation is read
// without a lock and replaced as a whole.
type Service struct {
	name     string
	policy   atomic.Pointer[config.Service]
	rotation atomic.Pointer[rotation]
	freed    chan struct{}
	waiting  atomic.Int32
	tokens   atomic.Int64 // Retry budget in thousandths.
	meanNano atomic.Int64 // Mean answer time, for estimating waits.
}

// rotation is an immutable list of upstreams with their shares.
type rotation struct {
	upstreams []*Upstream
	weights   []float64 // By this node's own avoidance and by ramps.
	phases    []core.Phase
	deadline  time.Time // Until when ejections hold.
	trialAt   []atomic.Int64
	all       []float64 // Weights without any ejection, for after the deadline.
}

const (
	tokenUnit   = 1000
	maxTokens   = 20 * tokenUnit
	trialPeriod = 500 * time.Millisecond // Of each node, so that a sick upstream gets few.
	freedSignal = 1024
	meanWeight  = 16
	pollWait    = 20 * time.Millisecond // Other nodes' slots come free unheard.
	shedPause   = 100 * time.Millisecond
	leastRetry  = time.Second
)

// NewService returns a service without upstreams.
func NewService(policy *config.Service) *Service {
	s := &Service{name: policy.Name(), freed: make(chan struct{}, freedSignal)}
	s.policy.Store(policy)
	s.rotation.Store(&rotation{})
	s.tokens.Store(maxTokens / 2)
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Policy returns what the template says.
func (s *Service) Policy() *config.Service { return s.policy.Load() }

// SetPolicy puts another version of the template in force.
func (s *Service) SetPolicy(p *config.Service) { s.policy.Store(p) }

// Upstreams returns the upstreams in rotation; do not change the slice.
func (s *Service) Upstreams() []*Upstream { return s.rotation.Load().upstreams }

// Share is what the decisions say of one upstream.
type Share struct {
	Upstream *Upstream
	Phase    core.Phase
	Weight   float64 // Ramp times this node's own avoidance.
	Alone    float64 // This node's own avoidance only.
}

// Rotate replaces the rotation. Ejections hold until deadline, by this node's
// clock; after it every upstream is in again but for this node's own avoidance.
func (s *Service) Rotate(shares []Share, deadline time.Time) {
	r := &rotation{deadline: deadline, trialAt: make([]atomic.Int64, len(shares))}
	old := s.rotation.Load()
	for i, h := range shares {
		r.upstreams = append(r.upstreams, h.Upstream)
		r.weights = append(r.weights, h.Weight)
		r.phases = append(r.phases, h.Phase)
		r.all = append(r.all, h.Alone)
		// The nodes must not all try at the same moment.
		r.trialAt[i].Store(time.Now().Add(rand.N(trialPeriod)).UnixNano())
		for k, u := range old.upstreams {
			if u == h.Upstream && old.phases[k] == core.Trial {
				r.trialAt[i].Store(old.trialAt[k].Load())
			}
		}
	}
	s.rotation.Store(r)
}

// pick chooses an upstream and takes a slot of it. It returns nil if none has a
// free slot. trial allows an upstream that is on trial.
func (s *Service) pick(now time.Time, trial bool, tried []*Upstream) *Upstream {
	r := s.rotation.Load()
	slots := s.Policy().Slots()
	if trial && now.Before(r.deadline) {
		if u := r.onTrial(now, tried, slots); u != nil {
			return u
		}
	}
	weights := r.inForce(now)
	first, second := r.draw(weights, now, tried), r.draw(weights, now, tried)
	if first < 0 {
		return nil
	}
	if second >= 0 && r.load(second, weights) < r.load(first, weights) {
		first = second
	}
	if u := r.upstreams[first]; u.take(slots) {
		return u
	}
	return r.anyFree(weights, now, tried, slots)
}

// inForce returns the weights that count at a time: ejections end with their lease.
func (r *rotation) inForce(now time.Time) []float64 {
	if now.Before(r.deadline) {
		return r.weights
	}
	return r.all
}

// draw picks an upstream at random by weight, -1 if there is none to pick.
func (r *rotation) draw(weights []float64, now time.Time, tried []*Upstream) int {
	sum := 0.0
	for i, w := range weights {
		if r.open(i, now, tried) {
			sum += w
		}
	}
	if sum <= 0 {
		return -1
	}
	x := rand.Float64() * sum
	last := -1
	for i, w := range weights {
		if w <= 0 || !r.open(i, now, tried) {
			continue
		}
		last = i
		if x -= w; x < 0 {
			return i
		}
	}
	return last
}

// open leaves out what was tried already, what is leaving, and what asked for a
// pause.
func (r *rotation) open(i int, now time.Time, tried []*Upstream) bool {
	u := r.upstreams[i]
	if u.refusing.Load() || u.sheds.Load() > now.UnixNano() {
		return false
	}
	for _, t := range tried {
		if t == u {
			return false
		}
	}
	return true
}

// load compares two upstreams: what all nodes have there, against its share.
func (r *rotation) load(i int, weights []float64) float64 {
	u := r.upstreams[i]
	return float64(u.inFlight.Load()+u.others.Load()+1) / weights[i]
}

func (r *rotation) anyFree(weights []float64, now time.Time, tried []*Upstream, slots int) *Upstream {
	start := rand.IntN(len(r.upstreams))
	for k := range r.upstreams {
		i := (start + k) % len(r.upstreams)
		if weights[i] > 0 && r.open(i, now, tried) && r.upstreams[i].take(slots) {
			return r.upstreams[i]
		}
	}
	return nil
}

// onTrial gives an upstream on trial one request now and then.
func (r *rotation) onTrial(now time.Time, tried []*Upstream, slots int) *Upstream {
	for i, p := range r.phases {
		if p != core.Trial || !r.open(i, now, tried) {
			continue
		}
		next := r.trialAt[i].Load()
		if now.UnixNano() < next || !r.trialAt[i].CompareAndSwap(next, now.Add(trialPeriod).UnixNano()) {
			continue
		}
		if u := r.upstreams[i]; u.InFlight() == 0 && u.take(slots) {
			return u
		}
	}
	return nil
}

// acquire waits for a slot until the deadline, and refuses at once when the wait
// would be longer than that.
func (s *Service) acquire(ctx context.Context, deadline time.Time, trial bool, tried []*Upstream) (*Upstream, *result.Error) {
	now := time.Now()
	if u := s.pick(now, trial, tried); u != nil {
		return u, nil
	}
	if s.count(now, tried) == 0 {
		return nil, s.nobody()
	}
	expected := s.expectedWait()
	// Work that starts with less time left than it usually takes would only come
	// too late, and nobody could say any more that it did not run.
	latest := deadline.Add(-time.Duration(s.meanNano.Load()))
	if now.Add(expected).After(latest) {
		return nil, result.New(result.Overloaded, "every slot of "+s.name+" is taken").WithRetryAfter(max(expected, leastRetry))
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	poll := time.NewTicker(pollWait)
	defer poll.Stop()
	for {
		select {
		case <-s.freed:
		case <-poll.C:
		case <-timer.C:
			return nil, result.New(result.Overloaded, "no slot of "+s.name+" came free").WithRetryAfter(max(expected, leastRetry))
		case <-ctx.Done():
			return nil, result.New(result.CallerGone, "the caller went away")
		}
		if u := s.pick(time.Now(), trial, tried); u != nil {
			return u, nil
		}
	}
}

func (s *Service) nobody() *result.Error {
	r := s.rotation.Load()
	now := time.Now()
	for _, u := range r.upstreams {
		if left := u.sheds.Load() - now.UnixNano(); left > 0 {
			return result.New(result.UpstreamShed, "every upstream of "+s.name+" sheds").WithRetryAfter(max(time.Duration(left), leastRetry))
		}
	}
	return result.New(result.NoUpstream, "no upstream of "+s.name+" is live").WithRetryAfter(leastRetry)
}

// count returns how many upstreams could take work at all.
func (s *Service) count(now time.Time, tried []*Upstream) int {
	r := s.rotation.Load()
	n := 0
	for i, w := range r.inForce(now) {
		if w > 0 && r.open(i, now, tried) {
			n++
		}
	}
	return n
}

// expectedWait estimates how long the request would be the last in the queue.
func (s *Service) expectedWait() time.Duration {
	slots := max(len(s.Upstreams())*s.Policy().Slots(), 1)
	ahead := int64(s.waiting.Load()) + 1
	return time.Duration(s.meanNano.Load() * ahead / int64(slots))
}

// done gives the slot back and lets a waiting request look.
func (s *Service) done(u *Upstream, took time.Duration) {
	u.release()
	old := s.meanNano.Load()
	s.meanNano.CompareAndSwap(old, old+(int64(took)-old)/meanWeight)
	if s.waiting.Load() == 0 {
		return
	}
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// earn adds a request's part to the retry budget.
func (s *Service) earn() {
	part := int64(s.Policy().RetryBudget() * tokenUnit)
	if s.tokens.Load() < maxTokens {
		s.tokens.Add(part)
	}
}

// spend takes a retry out of the budget. Retries are at most the budget's share
// of the requests, plus the few that may be saved up.
func (s *Service) spend() bool {
	for {
		n := s.tokens.Load()
		if n < tokenUnit {
			return false
		}
		if s.tokens.CompareAndSwap(n, n-tokenUnit) {
			return true
		}
	}
}
