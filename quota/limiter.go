package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// localShare is the fraction of its equal share of a limit that a node admits without a
	// reachable home. A home continues to grant the full rate for about a second, until it has
	// found out which nodes it does not reach.
	localShare = 0.5
	// maxDenyTime is how long a home's refusal applies to further requests of the account, so
	// that an account far above its limit does not cause a message for each request.
	maxDenyTime = 100 * time.Millisecond
	// unconfirmedRetryAfter is the minimum retry-after when the account's home cannot be
	// reached: another home is found within that time.
	unconfirmedRetryAfter = 250 * time.Millisecond
)

// accountState is this node's state for an account.
type accountState struct {
	limit       Limit
	home        string // The home asked last; "" once it is lost.
	unreported  int    // Tokens spent without a home, less those to be returned.
	deniedUntil time.Time
	local       *bucket // This node's own share of the limit, used while no home is reached.
	lastUsed    time.Time
}

// pendingAsk is a request that waits for the answer of a home.
type pendingAsk struct {
	account string
	home    string
	limit   Limit
}

// Spender decides on the requests that arrive at this node. It is not safe for concurrent
// use.
type Spender struct {
	bounds    Bounds
	nodes     int
	random    func() float64 // Uniformly distributed in [0, 1).
	accounts  map[string]*accountState
	asked     map[uint64]pendingAsk
	timedOut  map[uint64]pendingAsk // Requests that were decided or asked again before their home answered.
	unflushed map[string]bool       // Accounts with tokens to report.
	lastSweep time.Time
}

// NewSpender returns a spender for a fleet of one node.
func NewSpender(b Bounds, random func() float64) *Spender {
	return &Spender{bounds: b, nodes: 1, random: random, accounts: map[string]*accountState{}, asked: map[uint64]pendingAsk{},
		timedOut: map[uint64]pendingAsk{}, unflushed: map[string]bool{}}
}

// SetBounds changes the tolerance granted above limits.
func (s *Spender) SetBounds(b Bounds) { s.bounds = b }

// SetNodes sets the number of nodes in the fleet; each has an equal share of every limit.
func (s *Spender) SetNodes(n int) { s.nodes = max(n, 1) }

// Dirty reports whether there are tokens to report.
func (s *Spender) Dirty() bool { return len(s.unflushed) > 0 }

// Update handles a message and returns the commands that follow from it.
func (s *Spender) Update(m Message) []Command {
	s.sweep(m.at())
	switch m := m.(type) {
	case Wanted:
		return s.wanted(m)
	case Answered:
		return s.answered(m)
	case Unanswered:
		return s.unanswered(m)
	case Returned:
		s.spend(m.Account, -1)
	case Passed:
		s.account(m.At, m.Account, m.Limit)
		s.spend(m.Account, m.Count)
	case HomeLost:
		s.homeLost(m)
	case Flushed:
		return s.flush()
	}
	return nil
}

// account returns the state of an account, and creates it if necessary.
func (s *Spender) account(now time.Time, name string, limit Limit) *accountState {
	a := s.accounts[name]
	if a == nil {
		a = &accountState{}
		s.accounts[name] = a
	}
	a.limit = limit
	a.lastUsed = now
	return a
}

// wanted decides on a request, or asks the account's home.
func (s *Spender) wanted(m Wanted) []Command {
	a := s.account(m.At, m.Account, m.Limit)
	a.home = m.Home
	switch {
	case m.At.Before(a.deniedUntil):
		left := a.deniedUntil.Sub(m.At)
		return []Command{Refuse{Number: m.Number, After: left + time.Duration(s.random()*float64(left))}}
	case a.home == "":
		return s.decideLocally(m.At, m.Number, a, m.Account)
	}
	spent := a.unreported
	a.unreported = 0
	delete(s.unflushed, m.Account)
	s.asked[m.Number] = pendingAsk{account: m.Account, home: a.home, limit: m.Limit}
	return []Command{Ask{To: a.home, Number: m.Number, Account: m.Account, Spent: spent}}
}

// spend adds to the tokens to report; count is negative for tokens that are returned.
func (s *Spender) spend(account string, count int) {
	a := s.accounts[account]
	if a == nil {
		return
	}
	a.unreported += count
	s.unflushed[account] = true
}

// decideLocally decides by this node's own share of the limit. A node that has just lost its
// home starts with a token or without one at random, so that the nodes that lose it together
// have no more in total than toleranceShare allows.
func (s *Spender) decideLocally(now time.Time, number uint64, a *accountState, account string) []Command {
	if a.local == nil {
		a.local = &bucket{depth: 1, level: s.random(), updatedAt: now}
		if s.random()*float64(s.nodes) < toleranceShare*s.bounds.tolerance(a.limit) {
			a.local.level = 1
		}
	}
	a.local.rate = localShare * a.limit.Rate / float64(s.nodes)
	a.local.refill(now)
	if !a.local.take() {
		return []Command{Refuse{Number: number, After: unconfirmedRetryAfter + time.Duration(s.random()*float64(unconfirmedRetryAfter)), Unconfirmed: true}}
	}
	s.spend(account, 1)
	return []Command{Admit{Number: number}}
}

// answered applies the home's answer.
func (s *Spender) answered(m Answered) []Command {
	asked, ok := s.asked[m.Number]
	if !ok {
		return s.lateAnswer(m)
	}
	delete(s.asked, m.Number)
	a := s.account(m.At, asked.account, asked.limit)
	if m.Unknown {
		return s.decideLocally(m.At, m.Number, a, asked.account)
	}
	if m.Granted {
		return []Command{Admit{Number: m.Number}}
	}
	a.deniedUntil = m.At.Add(min(m.After, maxDenyTime))
	return []Command{Refuse{Number: m.Number, After: m.After}}
}

// lateAnswer handles the answer to a request that was decided without it. A granted token is
// not needed, as a request that was admitted otherwise is accounted for separately; it is
// returned to the home unless another home has been asked since.
func (s *Spender) lateAnswer(m Answered) []Command {
	asked, ok := s.timedOut[m.Number]
	delete(s.timedOut, m.Number)
	if a := s.accounts[asked.account]; ok && m.Granted && a != nil && a.home == asked.home {
		s.spend(asked.account, -1)
	}
	return nil
}

// unanswered asks again, or decides without a home.
func (s *Spender) unanswered(m Unanswered) []Command {
	asked, ok := s.asked[m.Number]
	if !ok {
		return nil
	}
	delete(s.asked, m.Number)
	s.timedOut[m.Number] = asked
	if m.Home != "" {
		return s.wanted(Wanted{At: m.At, Number: m.Next, Account: asked.account, Limit: asked.limit, Home: m.Home})
	}
	a := s.account(m.At, asked.account, asked.limit)
	return s.decideLocally(m.At, m.Next, a, asked.account)
}

// homeLost forgets a home: nothing more is reported to it. Its pending requests are asked
// again elsewhere after their timeout.
func (s *Spender) homeLost(m HomeLost) {
	for _, a := range s.accounts {
		if a.home == m.Home {
			a.home = ""
		}
	}
}

// flush reports the tokens spent or returned since the last report.
func (s *Spender) flush() []Command {
	var out []Command
	for _, name := range slices.Sorted(maps.Keys(s.unflushed)) {
		a := s.accounts[name]
		if a == nil || a.unreported == 0 {
			delete(s.unflushed, name)
			continue
		}
		if a.home == "" {
			continue // Reported to the next home.
		}
		out = append(out, Report{To: a.home, Account: name, Count: a.unreported})
		a.unreported = 0
		delete(s.unflushed, name)
	}
	return out
}

// sweep removes accounts without recent requests.
func (s *Spender) sweep(now time.Time) {
	if now.Before(s.lastSweep.Add(idleTime)) {
		return
	}
	s.lastSweep = now
	maps.DeleteFunc(s.accounts, func(_ string, a *accountState) bool { return now.Sub(a.lastUsed) > idleTime })
	clear(s.timedOut)
}
