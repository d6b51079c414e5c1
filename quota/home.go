package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// shortShare of a bucket is what an account runs low at.
	shortShare = 0.5
	// backMost bounds what a refused caller is told to wait.
	backMost = 2 * time.Second
	// idleTime is how long the tokens of an account are kept that nobody asks for.
	idleTime = time.Minute
	// actingTime is how long a node that stands in for a home may go without being asked
	// and still know what was given out since.
	actingTime = 1 * time.Second
	// claimEvery is the pace at which nodes are told that may stand in: a message of some 80
	// bytes for each account that is in use. While nodes come and go one may stand in that
	// has not heard of this home; until it has, the account has two.
	claimEvery     = 1 * time.Second
	claimUnsettled = 250 * time.Millisecond
	// overEvery is the pace at which it is said that an account is over its limit.
	overEvery = 1 * time.Second
)

// ledger is an account's tokens.
type ledger struct {
	bucket
	limit   Limit
	acting  bool      // This node stands in for the account's home.
	given   float64   // Tokens that a bucket which was full at the beginning would lack.
	backAt  time.Time // When the refused caller is to come back who comes last.
	used    time.Time // When it was last asked for.
	refused int       // Requests refused since it was last said that it is over its limit.
	said    time.Time
	claimed time.Time // When the node that ranks next was last told of this one.
}

// moveTo lets the bucket fill until now.
func (l *ledger) moveTo(now time.Time) {
	if passed := now.Sub(l.at).Seconds(); passed > 0 {
		l.given = max(l.given-passed*l.rate, 0)
	}
	l.bucket.moveTo(now)
}

// take takes a token and reports whether there was one.
func (l *ledger) take() bool {
	if !l.bucket.take() {
		return false
	}
	l.given++
	return true
}

// charge takes tokens that are spent already, or gives some back.
func (l *ledger) charge(tokens float64) {
	l.given = max(l.given+tokens, 0)
	l.bucket.charge(tokens)
}

// Home holds the tokens of the accounts whose home is this node. It is not safe for
// concurrent use.
type Home struct {
	bounds   Bounds
	share    float64 // Of the fleet that this node reaches.
	accounts map[string]*ledger
	swept    time.Time
	short    time.Time // Until when an account counts as short.
	settled  time.Time // When no other home of this node's accounts can matter any more.
}

// NewHome returns a home without accounts.
func NewHome(b Bounds) *Home {
	return &Home{bounds: b, share: 1, accounts: map[string]*ledger{}}
}

// Unsettle says that this process began now, or that other nodes came or went: accounts
// that it is not the home of yet may have had another one until now.
func (h *Home) Unsettle(now time.Time) { h.settled = now.Add(h.bounds.Window) }

// SetBounds changes what is granted above limits.
func (h *Home) SetBounds(b Bounds) { h.bounds = b }

// SetShare says which part of the fleet is reached. The rest may admit its own part of
// every limit, and the home leaves it that.
func (h *Home) SetShare(share float64) { h.share = share }

// Update takes a message and returns what is to be done.
func (h *Home) Update(m Message) []Command {
	h.sweep(m.at())
	switch m := m.(type) {
	case Asked:
		return h.asked(m)
	case Reported:
		h.ledger(m.At, m.Account, m.Limit, m.Acting).charge(float64(m.Count))
	case Resigned:
		return h.resigned(m)
	}
	return nil
}

// ledger returns an account's tokens as they are now. Of an account that is new here, or
// that this node has stood in for some time ago, another home may have given out a bucket
// just before.
func (h *Home) ledger(now time.Time, account string, limit Limit, acting bool) *ledger {
	l := h.accounts[account]
	begins := l == nil
	if begins {
		l = &ledger{bucket: bucket{at: now}}
		h.accounts[account] = l
	}
	l.limit = limit
	l.acting = acting
	l.moveTo(now)
	switch {
	case begins && !acting && !now.Before(h.settled):
		l.level = h.bounds.depth(limit)
	case begins, acting && now.Sub(l.used) > actingTime:
		l.level = min(max(toleranceShare*h.bounds.tolerance(limit), 1), h.bounds.depth(limit))
	}
	l.rate = limit.Rate * h.share
	l.depth = h.bounds.depth(limit)
	l.level = min(l.level, l.depth)
	l.used = now
	return l
}

// asked gives a token, or says when there is one.
func (h *Home) asked(m Asked) []Command {
	l := h.ledger(m.At, m.Account, m.Limit, m.Acting)
	l.charge(float64(m.Spent))
	out := h.claims(l, m.At, m.Account)
	answer := Answer{To: m.From, Number: m.Number, Granted: l.take()}
	if !answer.Granted {
		answer.After = l.comeBack(m.At)
	}
	if l.level < shortShare*l.depth {
		h.short = m.At.Add(h.bounds.Window)
	}
	out = append(out, answer)
	if answer.Granted {
		return out
	}
	return append(out, l.over(m.At, m.Account)...)
}

// resigned tells the home how many tokens were given in its place, and forgets the account. A
// home that is back from a cut has its whole bucket, and would give a burst for the second
// time: one of 100,000 schedules of the model went over a limit so.
func (h *Home) resigned(m Resigned) []Command {
	l := h.accounts[m.Account]
	if l == nil || !l.acting {
		return nil
	}
	delete(h.accounts, m.Account)
	l.moveTo(m.At)
	given := int(min(l.given, l.depth))
	if given == 0 {
		return nil
	}
	return []Command{Report{To: m.To, Account: m.Account, Count: given}}
}

// StoodIn returns the accounts for which this node has stood in for their homes.
func (h *Home) StoodIn() []string {
	var out []string
	for name, l := range h.accounts {
		if l.acting {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// claims tells the nodes that may have stood in for this one, at once and then again from
// time to time, since they may have been away: until they know, the account would have two
// homes.
func (h *Home) claims(l *ledger, now time.Time, account string) []Command {
	pace := claimEvery
	if now.Before(h.settled) {
		pace = claimUnsettled
	}
	if now.Before(l.claimed.Add(pace)) {
		return nil
	}
	l.claimed = now
	return []Command{Claim{Account: account}}
}

// over says that the account is over its limit, if it is time to.
func (l *ledger) over(now time.Time, account string) []Command {
	l.refused++
	if now.Before(l.said.Add(overEvery)) {
		return nil
	}
	o := Over{Use: l.use(account), Refused: l.refused}
	l.said = now
	l.refused = 0
	return []Command{o}
}

func (l *ledger) use(account string) Use {
	return Use{Account: account, Limit: l.limit, Left: l.level, Depth: l.depth}
}

// comeBack says when a refused caller finds a token, if all that were refused before it
// come back when they were told to.
func (l *ledger) comeBack(now time.Time) time.Duration {
	first := now.Add(l.next())
	if l.backAt.Before(first) {
		l.backAt = first
	}
	after := l.backAt.Sub(now)
	if after < backMost {
		l.backAt = l.backAt.Add(time.Duration(float64(time.Second) / l.rate))
	}
	return min(after, backMost)
}

// sweep forgets accounts that nobody has asked for lately: their buckets are full.
func (h *Home) sweep(now time.Time) {
	if now.Before(h.swept.Add(idleTime)) {
		return
	}
	h.swept = now
	maps.DeleteFunc(h.accounts, func(_ string, l *ledger) bool { return now.Sub(l.used) > idleTime })
}

// Short tells whether an account whose home this node is has run low on tokens within
// the last window. Then it matters which part of the fleet is reached, and has to be
// found out.
func (h *Home) Short(now time.Time) bool { return now.Before(h.short) }

// Idle tells whether this node is the home of no account that was asked for lately.
func (h *Home) Idle() bool { return len(h.accounts) == 0 }

// Use is an account's use as its home sees it.
type Use struct {
	Account string
	Limit   Limit
	Left    float64 // Tokens left.
	Depth   float64 // Tokens that it has at most.
}

// Uses returns the accounts whose home this node is, those that are used most first, at
// most so many.
func (h *Home) Uses(now time.Time, most int) []Use {
	var out []Use
	for name, l := range h.accounts {
		l.moveTo(now)
		out = append(out, l.use(name))
	}
	slices.SortFunc(out, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Left/a.Depth, b.Left/b.Depth), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), most)]
}
