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

// pendingRequest is a request that waits for the answer of a home.
type pendingRequest struct {
	account string
	home    string
	limit   Limit
}

// Limiter decides on the requests that arrive at this node. It is not safe for concurrent
// use.
type Limiter struct {
	bounds    Bounds
	nodes     int
	random    func() float64 // Uniformly distributed in [0, 1).
	accounts  map[string]*accountState
	pending   map[uint64]pendingRequest
	timedOut  map[uint64]pendingRequest // Requests that were decided or asked again before their home answered.
	unflushed map[string]bool           // Accounts with tokens to report.
	lastSweep time.Time
}

// NewLimiter returns a limiter for a fleet of one node.
func NewLimiter(b Bounds, random func() float64) *Limiter {
	return &Limiter{bounds: b, nodes: 1, random: random, accounts: map[string]*accountState{}, pending: map[uint64]pendingRequest{},
		timedOut: map[uint64]pendingRequest{}, unflushed: map[string]bool{}}
}

// SetBounds changes the tolerance granted above limits.
func (l *Limiter) SetBounds(b Bounds) { l.bounds = b }

// SetNodes sets the number of nodes in the fleet; each has an equal share of every limit. While it is 0, it is not known,
// and no request is admitted without a home.
func (l *Limiter) SetNodes(n int) { l.nodes = max(n, 0) }

// Dirty reports whether there are tokens to report.
func (l *Limiter) Dirty() bool { return len(l.unflushed) > 0 }

// Update handles a message and returns the commands that follow from it.
func (l *Limiter) Update(m Message) []Command {
	l.sweep(m.at())
	switch m := m.(type) {
	case TokenWanted:
		return l.tokenWanted(m)
	case Answered:
		return l.answered(m)
	case Unanswered:
		return l.unanswered(m)
	case Returned:
		l.spend(m.Account, -1)
	case Misdirected:
		l.account(m.At, m.Account, m.Limit)
		l.spend(m.Account, m.Count)
	case HomeLost:
		l.homeLost(m)
	case FlushDue:
		return l.flush()
	}
	return nil
}

// account returns the state of an account, and creates it if necessary.
func (l *Limiter) account(now time.Time, name string, limit Limit) *accountState {
	a := l.accounts[name]
	if a == nil {
		a = &accountState{}
		l.accounts[name] = a
	}
	a.limit = limit
	a.lastUsed = now
	return a
}

// tokenWanted decides on a request, or asks the account's home.
func (l *Limiter) tokenWanted(m TokenWanted) []Command {
	a := l.account(m.At, m.Account, m.Limit)
	a.home = m.Home
	switch {
	case m.At.Before(a.deniedUntil):
		left := a.deniedUntil.Sub(m.At)
		return []Command{Refuse{Number: m.Number, RetryAfter: left + time.Duration(l.random()*float64(left))}}
	case a.home == "":
		return l.decideLocally(m.At, m.Number, a, m.Account)
	}
	spent := a.unreported
	a.unreported = 0
	delete(l.unflushed, m.Account)
	l.pending[m.Number] = pendingRequest{account: m.Account, home: a.home, limit: m.Limit}
	return []Command{RequestToken{To: a.home, Number: m.Number, Account: m.Account, Spent: spent}}
}

// spend adds to the tokens to report; count is negative for tokens that are returned.
func (l *Limiter) spend(account string, count int) {
	a := l.accounts[account]
	if a == nil {
		return
	}
	a.unreported += count
	l.unflushed[account] = true
}

// decideLocally decides by this node's own share of the limit. The account's first decision
// without a home starts its local bucket at random with a token or with part of one, so that
// the nodes that lose a home together start on average with no more whole tokens in total than
// toleranceShare allows. The bucket is kept until sweep removes the account: after a later
// loss, it starts with the tokens that have accrued by then, one at most.
func (l *Limiter) decideLocally(now time.Time, number uint64, a *accountState, account string) []Command {
	if l.nodes == 0 {
		return []Command{l.refuseUnconfirmed(number)}
	}
	if a.local == nil {
		a.local = &bucket{depth: 1, level: l.random(), updatedAt: now}
		if l.random()*float64(l.nodes) < toleranceShare*l.bounds.tolerance(a.limit) {
			a.local.level = 1
		}
	}
	a.local.rate = localShare * a.limit.Rate / float64(l.nodes)
	a.local.refill(now)
	if !a.local.take() {
		return []Command{l.refuseUnconfirmed(number)}
	}
	l.spend(account, 1)
	return []Command{Admit{Number: number}}
}

// refuseUnconfirmed refuses a request whose account may have tokens at a home that is not reached.
func (l *Limiter) refuseUnconfirmed(number uint64) Refuse {
	return Refuse{Number: number, RetryAfter: unconfirmedRetryAfter + time.Duration(l.random()*float64(unconfirmedRetryAfter)), Unconfirmed: true}
}

// answered applies the home's answer.
func (l *Limiter) answered(m Answered) []Command {
	request, ok := l.pending[m.Number]
	if !ok {
		return l.lateAnswer(m)
	}
	delete(l.pending, m.Number)
	a := l.account(m.At, request.account, request.limit)
	if m.Unknown {
		return l.decideLocally(m.At, m.Number, a, request.account)
	}
	if m.Granted {
		return []Command{Admit{Number: m.Number}}
	}
	a.deniedUntil = m.At.Add(min(m.RetryAfter, maxDenyTime))
	return []Command{Refuse{Number: m.Number, RetryAfter: m.RetryAfter}}
}

// lateAnswer handles the answer to a request that was decided without it. A granted token is
// not needed, as a request that was admitted otherwise is accounted for separately; it is
// returned to the home unless another home has been asked since.
func (l *Limiter) lateAnswer(m Answered) []Command {
	request, ok := l.timedOut[m.Number]
	delete(l.timedOut, m.Number)
	if a := l.accounts[request.account]; ok && m.Granted && a != nil && a.home == request.home {
		l.spend(request.account, -1)
	}
	return nil
}

// unanswered asks again, or decides without a home.
func (l *Limiter) unanswered(m Unanswered) []Command {
	request, ok := l.pending[m.Number]
	if !ok {
		return nil
	}
	delete(l.pending, m.Number)
	l.timedOut[m.Number] = request
	if m.Home != "" {
		return l.tokenWanted(TokenWanted{At: m.At, Number: m.Next, Account: request.account, Limit: request.limit, Home: m.Home})
	}
	a := l.account(m.At, request.account, request.limit)
	return l.decideLocally(m.At, m.Next, a, request.account)
}

// homeLost forgets a home: nothing more is reported to it. Its pending requests are asked
// again elsewhere after their timeout.
func (l *Limiter) homeLost(m HomeLost) {
	for _, a := range l.accounts {
		if a.home == m.Home {
			a.home = ""
		}
	}
}

// flush reports the tokens spent or returned since the last report.
func (l *Limiter) flush() []Command {
	var out []Command
	for _, name := range slices.Sorted(maps.Keys(l.unflushed)) {
		a := l.accounts[name]
		if a == nil || a.unreported == 0 {
			delete(l.unflushed, name)
			continue
		}
		if a.home == "" {
			continue // Reported to the next home.
		}
		out = append(out, Report{To: a.home, Account: name, Count: a.unreported})
		a.unreported = 0
		delete(l.unflushed, name)
	}
	return out
}

// sweep removes accounts without recent requests.
func (l *Limiter) sweep(now time.Time) {
	if now.Before(l.lastSweep.Add(idleTime)) {
		return
	}
	l.lastSweep = now
	maps.DeleteFunc(l.accounts, func(_ string, a *accountState) bool { return now.Sub(a.lastUsed) > idleTime })
	clear(l.timedOut)
}
