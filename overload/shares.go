package overload

import (
	"hash/crc32"
	"slices"
	"time"
)

const (
	// MinWeight and MaxWeight bound the weight of a client account. Weights are relative and 1 is
	// the usual one, so a value outside is more likely a rate or a wrong unit than a share.
	MinWeight = 0.001
	MaxWeight = 1000.0
	// maxTracked is how many accounts with work at a gate have a share of their own.
	maxTracked = 1024
	// sharedBuckets is how many shares all other accounts have together.
	sharedBuckets = 64
)

// ValidWeight reports whether a weight is a number within the bounds.
func ValidWeight(w float64) bool { return w >= MinWeight && w <= MaxWeight }

// Shares orders the requests of client accounts that compete for the slots of a gate by start-time
// fair queueing. It handles an account that sends many times its usual load: its requests would
// fill the queue, and those of all other accounts would wait behind them.
//
// Costs are in time of the whole gate: the time for which a request needs a slot, divided by the
// number of slots. Virtual time is cost divided by weight. It advances with the requests that
// start and not with the clock, so it follows the real capacity: what an account got while others
// wanted less is not held against it, and an idle account accumulates no credit.
//
// Shares is not safe for concurrent use. Create it with NewShares.
type Shares struct {
	virtual float64 // Virtual time of the latest start, in seconds.
	weights float64 // Sum over the accounts with work.
	active  int     // Number of accounts with work.
	tracked map[string]*share
	buckets [sharedBuckets]share
	latest  [2]arrival // Of the two accounts that sent requests last, the latest first.
}

// share is the state of an account with work at the gate, or of several that share a bucket.
type share struct {
	name     string // "" for a bucket.
	weight   float64
	requests int     // Waiting or running.
	taken    float64 // Virtual time up to which it has used its share.
	waiting  []waitingWork
}

// waitingWork is an account's waiting work of one priority.
type waitingWork struct {
	priority int
	requests int
	cost     float64   // Virtual.
	last     time.Time // When the share reaches the last of the requests.
}

// arrival is when an account last sent a request.
type arrival struct {
	account string
	at      time.Time
}

// Claim is a request's claim to a slot.
type Claim struct {
	Account  string // "" for all requests without an account together.
	Weight   float64
	Priority int
	Cost     time.Duration
}

// Charge is what an account was charged for a request. The zero value charges nobody.
type Charge struct {
	share   *share
	claim   Claim
	started bool
}

// NewShares returns shares without any work.
func NewShares() *Shares { return &Shares{tracked: map[string]*share{}} }

// Delay returns how much later than its arrival a request goes in the order of the queue: the time
// that the account's share of the gate takes for what the account has taken beyond it and for its
// waiting requests of the same or a higher priority. Requests of an account and a priority keep
// their order.
//
// The delay is 0 for an account without work. It is 0 as well if no other account has work or sent
// a request within the last time most: none can be expected to arrive before the request is
// answered. The delay is at most most.
func (s *Shares) Delay(now time.Time, c Claim, most time.Duration) time.Duration {
	a := s.find(c.Account)
	if a == nil || a.requests == 0 || !s.contended(now, c.Account, most) {
		return 0
	}
	ahead, last := max(a.taken-s.virtual, 0), now
	for _, w := range a.waiting {
		if w.priority <= c.Priority {
			ahead += w.cost
		}
		if w.priority == c.Priority {
			last = w.last
		}
	}
	// Compared as numbers, since the product may exceed the range of a duration.
	delay := time.Duration(min(ahead*s.weights*float64(time.Second), float64(most)))
	return min(max(delay, last.Sub(now)), most)
}

// contended reports whether another account has work or sent a request within the given time.
func (s *Shares) contended(now time.Time, account string, within time.Duration) bool {
	other := s.latest[0]
	if other.account == account {
		other = s.latest[1]
	}
	return s.active > 1 || now.Sub(other.at) <= within
}

// Charge charges an account for a request that waits from now on or is about to start. The share
// reaches the request at the given time, which is its arrival with its delay. An invalid weight
// counts as 1.
func (s *Shares) Charge(now time.Time, c Claim, reached time.Time) Charge {
	if !ValidWeight(c.Weight) {
		c.Weight = 1
	}
	a := s.find(c.Account)
	if a == nil {
		a = &share{name: c.Account}
		s.tracked[c.Account] = a
	}
	if a.requests == 0 {
		s.active++
		a.weight, a.taken = 0, s.virtual
	}
	s.weights += c.Weight - a.weight
	a.weight = c.Weight
	a.requests++
	a.wait(c, reached)
	if s.latest[0].account != c.Account {
		s.latest[1] = s.latest[0]
	}
	s.latest[0] = arrival{account: c.Account, at: now}
	return Charge{share: a, claim: c}
}

// Start records that a request gets a slot.
func (s *Shares) Start(c *Charge) {
	if c.share == nil {
		return
	}
	c.started = true
	c.share.leave(c.claim)
	s.virtual = max(s.virtual, c.share.taken)
	c.share.taken = s.virtual + c.claim.virtual()
}

// Settle ends a request. The time of the whole gate for which it had a slot replaces its expected
// cost.
func (s *Shares) Settle(c *Charge, took time.Duration) {
	switch {
	case c.share == nil:
		return
	case c.started:
		c.share.taken -= c.claim.virtual()
		c.claim.Cost = took
		c.share.taken += c.claim.virtual()
	default:
		c.share.leave(c.claim)
	}
	s.release(c)
}

// Refund ends a request that has not run.
func (s *Shares) Refund(c *Charge) { s.Settle(c, 0) }

// release ends a charge, and drops its account if that has no other work.
func (s *Shares) release(c *Charge) {
	a := c.share
	*c = Charge{}
	if a.requests--; a.requests > 0 {
		return
	}
	s.active--
	s.weights -= a.weight
	if s.tracked[a.name] == a {
		delete(s.tracked, a.name)
	}
	if s.active == 0 {
		s.virtual, s.weights = 0, 0 // Removes rounding errors.
	}
}

// find returns the share of an account, nil if it has none and may get its own.
func (s *Shares) find(account string) *share {
	if a := s.tracked[account]; a != nil || len(s.tracked) < maxTracked {
		return a
	}
	return &s.buckets[crc32.ChecksumIEEE([]byte(account))%sharedBuckets]
}

// virtual returns the cost in virtual time.
func (c *Claim) virtual() float64 { return c.Cost.Seconds() / c.Weight }

// wait adds a waiting request.
func (a *share) wait(c Claim, reached time.Time) {
	i := a.indexOf(c.Priority)
	if i < 0 {
		i = len(a.waiting)
		a.waiting = append(a.waiting, waitingWork{priority: c.Priority})
	}
	w := &a.waiting[i]
	w.requests++
	w.cost += c.virtual()
	if reached.After(w.last) {
		w.last = reached
	}
}

// leave removes a request that no longer waits.
func (a *share) leave(c Claim) {
	i := a.indexOf(c.Priority)
	w := &a.waiting[i]
	w.requests--
	w.cost -= c.virtual()
	if w.requests == 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
}

// indexOf returns the index of the waiting work of a priority, -1 for none.
func (a *share) indexOf(priority int) int {
	return slices.IndexFunc(a.waiting, func(w waitingWork) bool { return w.priority == priority })
}
