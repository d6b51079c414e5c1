package overload

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sharesCase is a case of the data file; in each step, exactly one of Claim, Start, End and Refund
// is the number of a request.
type sharesCase struct {
	Why   string
	Steps []struct {
		Claim, Start, End, Refund, Priority int
		After, Cost, Took, Want             time.Duration
		Account                             string
		Weight                              float64
	}
}

// TestShares guards against delays of accounts within their share, and against others than the data file
// lists.
func TestShares(t *testing.T) {
	text, err := os.ReadFile("testdata/shares.yaml")
	require.NoError(t, err)
	var cases []sharesCase
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
	}
}

// However many accounts appear, a gate must keep the state of a bounded number, and of none that is
// idle.
func TestSharesAreBounded(t *testing.T) {
	s, now, charges := NewShares(), time.Unix(1000, 0), make([]Charge, 3*maxTracked)
	for i := range charges {
		charges[i] = s.Charge(now, Claim{Account: strconv.Itoa(i), Cost: time.Millisecond}, now)
	}
	assert.Equal(t, []int{maxTracked, maxTracked + sharedBuckets}, []int{len(s.tracked), s.active})
	assert.Positive(t, s.Delay(now, Claim{Account: "another"}, time.Second), "it shares a bucket")
	for i := range charges {
		s.Start(&charges[i])
		s.Refund(&charges[i])
		s.Refund(&charges[i]) // Has no effect.
	}
	assert.Equal(t, []int{0, 0}, []int{len(s.tracked), s.active})
}

// Whatever the weights, each account must get what it asks for up to its share, beside one that asks
// for ten times as much as the gate has. The gate serves one request after the other.
func TestHotAccountLeavesOthersTheirShares(t *testing.T) {
	const cost, maxWait = 10, time.Second // The cost is in milliseconds.
	type request struct {
		account      int
		arrived, due time.Time
		charge       *Charge
	}
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		weights, sum := []float64{1}, 1.0
		for range 1 + random.IntN(10) {
			weights = append(weights, 0.3+3*random.Float64())
			sum += weights[len(weights)-1]
		}
		s, now, served, asked, queue := NewShares(), time.Unix(1000, 0), make([]float64, len(weights)), make([]float64, len(weights)), []request(nil)
		for step := range 30_000 {
			now = now.Add(time.Millisecond)
			for i, w := range weights {
				if i == 0 && len(queue) < 200 || i > 0 && random.Float64() < 0.9*w/sum/cost {
					c := Claim{Account: strconv.Itoa(i), Weight: w, Cost: cost * time.Millisecond}
					due := now.Add(s.Delay(now, c, time.Minute))
					charge := s.Charge(now, c, due)
					queue = append(queue, request{i, now, due, &charge})
					asked[i]++
				}
			}
			for len(queue) > 0 && step%cost == 0 {
				first := slices.MinFunc(queue, func(a, b request) int { return a.due.Compare(b.due) })
				queue = slices.DeleteFunc(queue, func(r request) bool { return r.charge == first.charge })
				if now.Sub(first.arrived) > maxWait {
					s.Refund(first.charge)
					continue
				}
				s.Start(first.charge)
				s.Settle(first.charge, cost*time.Millisecond)
				served[first.account]++
				break
			}
		}
		for i := range weights[1:] {
			assert.GreaterOrEqual(t, served[i+1], 0.9*asked[i+1], "seed %d, account %d of %d", seed, i+1, len(weights))
		}
		assert.Positive(t, served[0])
	}
}

// BenchmarkShares decides about one more request beside 1,000 accounts with a waiting request each.
func BenchmarkShares(b *testing.B) {
	s, now, queue := NewShares(), time.Unix(1000, 0), make([]QueueKey, 0, 1001)
	for i := range 1000 {
		s.Charge(now, Claim{Account: "account-" + strconv.Itoa(i), Cost: time.Millisecond}, now)
		queue = append(queue, NewQueueKey(now.Add(time.Duration(i)*time.Millisecond), 0, FixedStep, now.Add(time.Second), now.Add(2*time.Second)))
	}
	b.ReportAllocs()
	for b.Loop() {
		c, k := Claim{Account: "account-500", Cost: time.Millisecond}, NewQueueKey(now, 0, FixedStep, now.Add(time.Second), now.Add(2*time.Second))
		delay := s.Delay(now, c, time.Second)
		k.Delay(delay)
		i, _ := slices.BinarySearchFunc(queue, k, func(x, y QueueKey) int { return x.Compare(&y) })
		queue = slices.Delete(slices.Insert(queue, i, k), i, i+1)
		charge := s.Charge(now, c, now.Add(delay))
		s.Refund(&charge)
	}
}
