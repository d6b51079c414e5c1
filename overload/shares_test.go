package overload

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sharesStep is a request that claims a slot, starts or ends; exactly one of the numbers is set.
type sharesStep struct {
	After    time.Duration `yaml:"after"` // Time passes first.
	Claim    int           `yaml:"claim"`
	Start    int           `yaml:"start"`
	End      int           `yaml:"end"`
	Refund   int           `yaml:"refund"`
	Account  string        `yaml:"account"`
	Weight   float64       `yaml:"weight"` // 0 for 1.
	Priority int           `yaml:"priority"`
	Cost     time.Duration `yaml:"cost"`
	Took     time.Duration `yaml:"took"`
	Want     time.Duration `yaml:"want"`
}

// TestShares plays the steps of the data file and checks the delay of each claim.
func TestShares(t *testing.T) {
	text, err := os.ReadFile("testdata/shares.yaml")
	require.NoError(t, err)
	var cases []struct {
		Why   string       `yaml:"why"`
		Steps []sharesStep `yaml:"steps"`
	}
	require.NoError(t, yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()))
	for _, c := range cases {
		s, now, charges := NewShares(), time.Unix(1000, 0), map[int]*Charge{}
		for _, step := range c.Steps {
			now = now.Add(step.After)
			switch {
			case step.Start > 0:
				s.Start(charges[step.Start])
			case step.End > 0:
				s.Settle(charges[step.End], step.Took)
			case step.Refund > 0:
				s.Refund(charges[step.Refund])
			default:
				claim := Claim{Account: step.Account, Weight: step.Weight, Priority: step.Priority, Cost: step.Cost}
				delay := s.Delay(now, claim, time.Second)
				assert.InDelta(t, step.Want.Seconds(), delay.Seconds(), 1e-6, "%s: claim %d", c.Why, step.Claim)
				charge := s.Charge(now, claim, now.Add(delay))
				charges[step.Claim] = &charge
			}
		}
		for _, charge := range charges {
			s.Refund(charge)
		}
		assert.Empty(t, s.tracked, c.Why)
		assert.Zero(t, s.active, c.Why)
	}
}

// However many accounts appear, a gate must keep the state of a bounded number, and of none that is
// idle.
func TestSharesAreBounded(t *testing.T) {
	s, now := NewShares(), time.Unix(1000, 0)
	var charges []Charge
	for i := range 3 * maxTracked {
		charges = append(charges, s.Charge(now, Claim{Account: strconv.Itoa(i), Weight: 1, Cost: time.Millisecond}, now))
	}
	assert.Len(t, s.tracked, maxTracked)
	assert.Equal(t, maxTracked+sharedBuckets, s.active)
	assert.Positive(t, s.Delay(now, Claim{Account: "another", Weight: 1}, time.Second), "it shares a bucket")
	for i := range charges {
		s.Start(&charges[i])
		s.Refund(&charges[i])
		s.Refund(&charges[i]) // Has no effect.
	}
	assert.Empty(t, s.tracked)
	assert.Zero(t, s.active)
	assert.Zero(t, s.weights)
}

// Requests of one account and priority must keep their order, however irregularly others start.
func TestSharesKeepTheOrderOfAnAccount(t *testing.T) {
	s, now := NewShares(), time.Unix(1000, 0)
	other := s.Charge(now, Claim{Account: "other", Weight: 1, Cost: time.Millisecond}, now)
	defer s.Refund(&other)
	var waiting []Charge
	last := now
	for i := range 400 {
		now = now.Add(time.Millisecond)
		c := Claim{Account: "a", Weight: 0.1, Cost: time.Millisecond}
		at := now.Add(s.Delay(now, c, time.Second))
		assert.False(t, at.Before(last), "request %d", i)
		last = at
		waiting = append(waiting, s.Charge(now, c, at))
		if i%20 == 0 { // Many slots are free at once.
			for j := range waiting[1:] {
				s.Start(&waiting[j])
				s.Settle(&waiting[j], time.Millisecond)
			}
			waiting = slices.Clone(waiting[len(waiting)-1:])
		}
	}
}

// BenchmarkShares decides about one more request beside 1,000 accounts with a waiting request each.
func BenchmarkShares(b *testing.B) {
	s, now := NewShares(), time.Unix(1000, 0)
	queue := make([]*QueueKey, 0, 1001)
	names := make([]string, 1000)
	for i := range names {
		names[i] = "account-" + strconv.Itoa(i)
		s.Charge(now, Claim{Account: names[i], Weight: 1, Cost: time.Millisecond}, now)
		k := NewQueueKey(now.Add(time.Duration(i)*time.Millisecond), 0, now.Add(time.Second), now.Add(2*time.Second))
		queue = append(queue, &k)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		c := Claim{Account: names[n%len(names)], Weight: 1, Cost: time.Millisecond}
		k := NewQueueKey(now, 0, now.Add(time.Second), now.Add(2*time.Second))
		delay := s.Delay(now, c, time.Second)
		k.Delay(delay)
		i, _ := slices.BinarySearchFunc(queue, &k, func(x, y *QueueKey) int { return x.Compare(y) })
		queue = slices.Insert(queue, i, &k)
		charge := s.Charge(now, c, now.Add(delay))
		s.Refund(&charge)
		queue = slices.Delete(queue, i, i+1)
	}
}
