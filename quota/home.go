package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// lowShare is the fraction of a bucket below which an account is low on tokens.
	lowShare = 0.5
	// maxRetryAfter bounds the retry-after of a refused request.
	maxRetryAfter = 2 * time.Second
	// idleTime is how long the bucket of an unused account is kept.
	idleTime = time.Minute
	// maxActingGap is how long an acting home may go without requests and still rely on its
	// count of the tokens granted since.
	maxActingGap = 1 * time.Second
	// claimInterval is the interval between claims to the successors: a message of some 80
	// bytes for each account in use. While nodes join and leave, a node that has not yet
	// received a claim may act as home; until it receives one, the account has two homes.
	claimInterval          = 1 * time.Second
	claimIntervalUncertain = 250 * time.Millisecond
	// overInterval is the minimum interval between two reports that an account is over its limit.
	overInterval = 1 * time.Second
)

// accountBucket is an account's token bucket and what its home tracks beside it.
type accountBucket struct {
	bucket
	limit     Limit
	acting    bool      // This node acts as home in place of the account's own.
	deficit   float64   // Tokens missing from a bucket that was full at first; reported on handover.
	retryAt   time.Time // Latest retry time given to a refused request.
	lastUsed  time.Time // Time of the last message about the account.
	refused   int       // Requests refused since the last OverLimit command.
	lastOver  time.Time
	lastClaim time.Time // Time of the last claim to the successors.
}

// refill adds the tokens that have accrued until now.
func (a *accountBucket) refill(now time.Time) {
	if elapsed := now.Sub(a.updatedAt).Seconds(); elapsed > 0 {
		a.deficit = max(a.deficit-elapsed*a.rate, 0)
	}
	a.bucket.refill(now)
}

// take removes one token and reports whether there was one.
func (a *accountBucket) take() bool {
	if !a.bucket.take() {
		return false
	}
	a.deficit++
	return true
}

// charge removes tokens that are already spent, or adds some if tokens is negative.
func (a *accountBucket) charge(tokens float64) {
	a.deficit = max(a.deficit+tokens, 0)
	a.bucket.charge(tokens)
}

// Home holds the tokens of the accounts whose home is this node. It is not safe for
// concurrent use.
type Home struct {
	bounds         Bounds
	share          float64 // Fraction of the fleet that this node reaches.
	accounts       map[string]*accountBucket
	lastSweep      time.Time
	lowUntil       time.Time // Time until which Low reports true.
	uncertainUntil time.Time // Until then, another home may still have granted tokens within the window.
}

// NewHome returns a home without accounts.
func NewHome(b Bounds) *Home {
	return &Home{bounds: b, share: 1, accounts: map[string]*accountBucket{}}
}

// MarkUncertain records that this process started now, or that other nodes joined or left: an
// account without a bucket here may have had another home until now.
func (h *Home) MarkUncertain(now time.Time) { h.uncertainUntil = now.Add(h.bounds.Window) }

// SetBounds changes the tolerance granted above limits.
func (h *Home) SetBounds(b Bounds) { h.bounds = b }

// SetShare sets the fraction of the fleet that this node reaches. The rest may admit its own
// share of every limit, so the home reduces its rate by that share.
func (h *Home) SetShare(share float64) { h.share = share }

// Update handles a message and returns the commands that follow from it.
func (h *Home) Update(m Message) []Command {
	h.sweep(m.at())
	switch m := m.(type) {
	case TokenRequested:
		return h.tokenRequested(m)
	case Reported:
		h.bucketOf(m.At, m.Account, m.Limit, m.Acting).charge(float64(m.Count))
	case HomeReturned:
		return h.homeReturned(m)
	}
	return nil
}

// bucketOf returns an account's bucket, refilled until now. If the account is new here, or
// this node last acted as its home some time ago, another home may just have granted a full
// bucket: it then starts with a share of the tolerance only.
func (h *Home) bucketOf(now time.Time, account string, limit Limit, acting bool) *accountBucket {
	a := h.accounts[account]
	created := a == nil
	if created {
		a = &accountBucket{bucket: bucket{updatedAt: now}}
		h.accounts[account] = a
	}
	a.limit = limit
	a.acting = acting
	a.refill(now)
	switch {
	case created && !acting && !now.Before(h.uncertainUntil):
		a.level = h.bounds.depth(limit)
	case created, acting && now.Sub(a.lastUsed) > maxActingGap:
		a.level = min(max(toleranceShare*h.bounds.tolerance(limit), 1), h.bounds.depth(limit))
	}
	a.rate = limit.Rate * h.share
	a.depth = h.bounds.depth(limit)
	a.level = min(a.level, a.depth)
	a.lastUsed = now
	return a
}

// tokenRequested grants a token, or returns after which time to retry.
func (h *Home) tokenRequested(m TokenRequested) []Command {
	a := h.bucketOf(m.At, m.Account, m.Limit, m.Acting)
	a.charge(float64(m.Spent))
	out := h.claimIfDue(a, m.At, m.Account)
	answer := Answer{To: m.From, Number: m.Number, Granted: a.take()}
	if !answer.Granted {
		answer.RetryAfter = a.retryAfter(m.At)
	}
	if a.level < lowShare*a.depth {
		h.lowUntil = m.At.Add(h.bounds.Window)
	}
	out = append(out, answer)
	if answer.Granted {
		return out
	}
	return append(out, a.reportOver(m.At, m.Account)...)
}

// homeReturned reports to the account's home how many tokens were granted in its place, and
// forgets the account. A home that returns from a network cut has a full bucket, and without
// the report would grant its burst a second time: one of 100,000 schedules of the model exceeded
// a limit for that reason.
func (h *Home) homeReturned(m HomeReturned) []Command {
	a := h.accounts[m.Account]
	if a == nil || !a.acting {
		return nil
	}
	delete(h.accounts, m.Account)
	a.refill(m.At)
	deficit := int(min(a.deficit, a.depth))
	if deficit == 0 {
		return nil
	}
	return []Command{Report{To: m.To, Account: m.Account, Count: deficit}}
}

// ActingFor returns the accounts for which this node acts as home, in order of their names.
func (h *Home) ActingFor() []string {
	var out []string
	for name, a := range h.accounts {
		if a.acting {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// claimIfDue sends a claim to the successors, at first immediately and then at intervals, as
// they may have been unreachable: until they receive it, the account may have two homes.
func (h *Home) claimIfDue(a *accountBucket, now time.Time, account string) []Command {
	interval := claimInterval
	if now.Before(h.uncertainUntil) {
		interval = claimIntervalUncertain
	}
	if now.Before(a.lastClaim.Add(interval)) {
		return nil
	}
	a.lastClaim = now
	return []Command{Claim{Account: account}}
}

// reportOver reports that the account is over its limit, at most once per overInterval.
func (a *accountBucket) reportOver(now time.Time, account string) []Command {
	a.refused++
	if now.Before(a.lastOver.Add(overInterval)) {
		return nil
	}
	o := OverLimit{Use: a.use(account), Refused: a.refused}
	a.lastOver = now
	a.refused = 0
	return []Command{o}
}

func (a *accountBucket) use(account string) Use {
	return Use{Account: account, Limit: a.limit, Left: a.level, Depth: a.depth}
}

// retryAfter returns when a refused request would find a token, provided that all requests
// refused before it retry at the times they were given.
func (a *accountBucket) retryAfter(now time.Time) time.Duration {
	first := now.Add(a.untilNext())
	if a.retryAt.Before(first) {
		a.retryAt = first
	}
	after := a.retryAt.Sub(now)
	if after < maxRetryAfter {
		a.retryAt = a.retryAt.Add(time.Duration(float64(time.Second) / a.rate))
	}
	return min(after, maxRetryAfter)
}

// sweep removes accounts that have been unused for idleTime. Their buckets are full by then,
// unless what is missing takes longer than idleTime to refill: a new bucket may then start with
// more tokens than the removed one had.
func (h *Home) sweep(now time.Time) {
	if now.Before(h.lastSweep.Add(idleTime)) {
		return
	}
	h.lastSweep = now
	maps.DeleteFunc(h.accounts, func(_ string, a *accountBucket) bool { return now.Sub(a.lastUsed) > idleTime })
}

// Low reports whether an account whose home is this node has run low on tokens within the
// last window. The fraction of the fleet that is reached then has to be determined.
func (h *Home) Low(now time.Time) bool { return now.Before(h.lowUntil) }

// Idle reports whether this node is the home of no recently used account.
func (h *Home) Idle() bool { return len(h.accounts) == 0 }

// Use is the current use of an account's limit, according to its home.
type Use struct {
	Account string
	Limit   Limit
	Left    float64 // Tokens left.
	Depth   float64 // Capacity of the bucket in tokens.
}

// Uses returns at most limit accounts whose home is this node, those with the smallest
// fraction of tokens left first, for the node's dump.
func (h *Home) Uses(now time.Time, limit int) []Use {
	var out []Use
	for name, a := range h.accounts {
		a.refill(now)
		out = append(out, a.use(name))
	}
	slices.SortFunc(out, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Left/a.Depth, b.Left/b.Depth), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), limit)]
}
