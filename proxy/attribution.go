package proxy

import (
	"sync"
	"time"

	"eiderfold/config"
)

// attributor attributes errors to a client account or to an upstream. Errors from
// several upstreams without a success in between are attributed to the account,
// whose requests no upstream can answer.
type attributor struct {
	mu       sync.Mutex // Taken on every error and every success.
	suspects map[*config.Account]*suspect
}

// suspect is an account with errors since its last success.
type suspect struct {
	first *Upstream
	at    time.Time
	// confirmed is set once a second upstream has failed too, which clears the
	// first one.
	confirmed bool
}

const (
	suspectTTL  = 30 * time.Second
	maxSuspects = 4096
)

func newAttributor() *attributor { return &attributor{suspects: map[*config.Account]*suspect{}} }

// recordError records an error and reports whether the caller caused it. An
// account's first error always counts against the upstream.
func (b *attributor) recordError(a *config.Account, u *Upstream, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[a]
	if s == nil || now.Sub(s.at) > suspectTTL {
		if len(b.suspects) >= maxSuspects {
			clear(b.suspects)
		}
		b.suspects[a] = &suspect{first: u, at: now}
		return false
	}
	s.at = now
	s.confirmed = s.confirmed || s.first != u
	return s.confirmed
}

// recordSuccess clears the account's suspicion: its requests can be answered.
func (b *attributor) recordSuccess(a *config.Account) {
	b.mu.Lock()
	delete(b.suspects, a)
	b.mu.Unlock()
}
