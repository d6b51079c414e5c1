package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// partShare of its equal part of a limit is what a node admits that reaches no home. A
	// home goes on giving the whole for about a second until it has found out which nodes
	// it does not reach.
	partShare = 0.5
	// denyMost is how long a home's refusal of an account is taken at its word: an
	// account that sends many times its limit is not asked about each time.
	denyMost = 100 * time.Millisecond
	// unconfirmedBack is when a caller is told to come back whose account's home cannot
	// be reached: another one is found within that time.
	unconfirmedBack = 250 * time.Millisecond
)

// spending is what this node has done for an account.
type spending struct {
	limit      Limit
	home       string // The home that was asked last.
	unreported int    // Tokens spent without a home, less those to be given back.
	denied     time.Time
	part       *bucket // This node's own part of the limit, for when no home is reached.
	used       time.Time
}

// asking is a request whose home has been asked.
type asking struct {
	account string
	home    string
	limit   Limit
}

// Spender decides about the requests that one node takes. It is not safe for concurrent
// use.
type Spender struct {
	bounds   Bounds
	nodes    int
	draw     func() float64 // Evenly from [0, 1).
	accounts map[string]*spending
	asked    map[uint64]asking
	late     map[uint64]asking // Requests that were decided without the home they asked.
	dirty    map[string]bool   // Accounts with something to report.
	swept    time.Time
}

// NewSpender returns a spender that knows of one node.
func NewSpender(b Bounds, draw func() float64) *Spender {
	return &Spender{bounds: b, nodes: 1, draw: draw, accounts: map[string]*spending{}, asked: map[uint64]asking{},
		late: map[uint64]asking{}, dirty: map[string]bool{}}
}

// SetBounds changes what is granted above limits.
func (s *Spender) SetBounds(b Bounds) { s.bounds = b }

// SetNodes says how many nodes the fleet has; each has an equal part of every limit.
func (s *Spender) SetNodes(n int) { s.nodes = max(n, 1) }

// Dirty tells whether there is something to report.
func (s *Spender) Dirty() bool { return len(s.dirty) > 0 }

// Update takes a message and returns what is to be done.
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

// account returns what was done for an account so far.
func (s *Spender) account(now time.Time, name string, limit Limit) *spending {
	a := s.accounts[name]
	if a == nil {
		a = &spending{}
		s.accounts[name] = a
	}
	a.limit = limit
	a.used = now
	return a
}

// wanted decides about a request, or asks its home.
func (s *Spender) wanted(m Wanted) []Command {
	a := s.account(m.At, m.Account, m.Limit)
	a.home = m.Home
	switch {
	case m.At.Before(a.denied):
		left := a.denied.Sub(m.At)
		return []Command{Refuse{Number: m.Number, After: left + time.Duration(s.draw()*float64(left))}}
	case a.home == "":
		return s.part(m.At, m.Number, a, m.Account)
	}
	spent := a.unreported
	a.unreported = 0
	delete(s.dirty, m.Account)
	s.asked[m.Number] = asking{account: m.Account, home: a.home, limit: m.Limit}
	return []Command{Ask{To: a.home, Number: m.Number, Account: m.Account, Spent: spent}}
}

// spend takes note of tokens that are spent, or come back.
func (s *Spender) spend(account string, count int) {
	a := s.accounts[account]
	if a == nil {
		return
	}
	a.unreported += count
	s.dirty[account] = true
}

// part decides by this node's own part of the limit. A node that has just lost its home
// has, by chance, a token or not, so that all nodes that lose it together have no more
// than the tolerance's share.
func (s *Spender) part(now time.Time, number uint64, a *spending, account string) []Command {
	if a.part == nil {
		a.part = &bucket{depth: 1, level: s.draw(), at: now}
		if s.draw()*float64(s.nodes) < toleranceShare*s.bounds.tolerance(a.limit) {
			a.part.level = 1
		}
	}
	a.part.rate = partShare * a.limit.Rate / float64(s.nodes)
	a.part.moveTo(now)
	if !a.part.take() {
		return []Command{Refuse{Number: number, After: unconfirmedBack + time.Duration(s.draw()*float64(unconfirmedBack)), Unconfirmed: true}}
	}
	s.spend(account, 1)
	return []Command{Admit{Number: number}}
}

// answered does as the home says.
func (s *Spender) answered(m Answered) []Command {
	asked, ok := s.asked[m.Number]
	if !ok {
		return s.tooLate(m)
	}
	delete(s.asked, m.Number)
	a := s.account(m.At, asked.account, asked.limit)
	if m.Unknown {
		return s.part(m.At, m.Number, a, asked.account)
	}
	if m.Granted {
		return []Command{Admit{Number: m.Number}}
	}
	a.denied = m.At.Add(min(m.After, denyMost))
	return []Command{Refuse{Number: m.Number, After: m.After}}
}

// tooLate takes a home's word on a request that was decided without it. Its token is not
// needed: what went ahead is reported by itself. Another home has not given it.
func (s *Spender) tooLate(m Answered) []Command {
	asked, ok := s.late[m.Number]
	delete(s.late, m.Number)
	if a := s.accounts[asked.account]; ok && m.Granted && a != nil && a.home == asked.home {
		s.spend(asked.account, -1)
	}
	return nil
}

// unanswered decides without the home.
func (s *Spender) unanswered(m Unanswered) []Command {
	asked, ok := s.asked[m.Number]
	if !ok {
		return nil
	}
	delete(s.asked, m.Number)
	s.late[m.Number] = asked
	if m.Home != "" {
		return s.wanted(Wanted{At: m.At, Number: m.Next, Account: asked.account, Limit: asked.limit, Home: m.Home})
	}
	a := s.account(m.At, asked.account, asked.limit)
	return s.part(m.At, m.Next, a, asked.account)
}

// homeLost forgets a home: nothing is reported to it any more. What it was asked is asked
// elsewhere once it has not answered for long enough.
func (s *Spender) homeLost(m HomeLost) {
	for _, a := range s.accounts {
		if a.home == m.Home {
			a.home = ""
		}
	}
}

// flush reports what was spent since the last time.
func (s *Spender) flush() []Command {
	var out []Command
	for _, name := range slices.Sorted(maps.Keys(s.dirty)) {
		a := s.accounts[name]
		if a == nil || a.unreported == 0 {
			delete(s.dirty, name)
			continue
		}
		if a.home == "" {
			continue // It is reported to the next home.
		}
		out = append(out, Report{To: a.home, Account: name, Count: a.unreported})
		a.unreported = 0
		delete(s.dirty, name)
	}
	return out
}

// sweep forgets accounts without requests lately.
func (s *Spender) sweep(now time.Time) {
	if now.Before(s.swept.Add(idleTime)) {
		return
	}
	s.swept = now
	maps.DeleteFunc(s.accounts, func(_ string, a *spending) bool { return now.Sub(a.used) > idleTime })
	clear(s.late)
}
