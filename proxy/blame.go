package proxy

import (
	"sync"
	"time"

	"eiderfold/config"
)

// blame tells errors that follow a client account from errors that follow an
// upstream. An account that gets errors from one upstream after the other, with
// no success between, sends something that nobody can answer.
type blame struct {
	mu       sync.Mutex // Taken on errors, and on successes while there are suspects.
	suspects map[*config.Account]*suspect
}

type suspect struct {
	first *Upstream
	at    time.Time
	// proven says that a second upstream failed too: then the first one's failures
	// are not its own either.
	proven bool
}

const (
	blameFor   = 30 * time.Second
	blameLimit = 4096
)

func newBlame() *blame { return &blame{suspects: map[*config.Account]*suspect{}} }

// callers takes an error and reports whether it is the caller's own. The first
// error of an account always counts against the upstream.
func (b *blame) callers(a *config.Account, u *Upstream, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[a]
	if s == nil || now.Sub(s.at) > blameFor {
		if len(b.suspects) >= blameLimit {
			clear(b.suspects)
		}
		b.suspects[a] = &suspect{first: u, at: now}
		return false
	}
	s.at = now
	s.proven = s.proven || s.first != u
	return s.proven
}

// cleared takes a success, which shows that the account's requests can be
// answered.
func (b *blame) cleared(a *config.Account) {
	b.mu.Lock()
	delete(b.suspects, a)
	b.mu.Unlock()
}
