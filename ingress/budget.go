package ingress

import (
	"sync"
)

const (
	// ratioShare is the part of the fleet's retry ratio that is spent: calls that
	// a repeated run makes count as repeats too, and are not seen here.
	ratioShare = 0.6
	// slackShare is the part of the fleet's slack that is spent, for the same reason.
	slackShare = 0.5
)

// Budget bounds how often this node sends a request again. The fleet's bound is a
// ratio and a slack; each node takes the ratio of its own requests and an equal
// part of the slack, so the sum keeps the bound whoever can hear whom. A restarted
// node begins with nothing.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	fleet  int // The largest number of nodes seen; more nodes, smaller parts.
	tokens float64
}

// NewBudget returns a budget for the fleet's ratio and slack.
func NewBudget(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * ratioShare, slack: slack * slackShare, fleet: 1}
}

// Fleet tells how many nodes are known now.
func (b *Budget) Fleet(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = max(b.fleet, nodes)
}

// Earn counts a caller's request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	// At least one may be saved up, or a large fleet could never repeat anything.
	b.tokens = min(b.tokens+b.ratio, max(1, b.slack/float64(b.fleet)))
}

// Take spends a token and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
