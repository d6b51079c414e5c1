package gate

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/platform"
	"eiderfold/port"
	"eiderfold/switches"
)

const (
	loadWork   = 200 * time.Millisecond
	loadTarget = time.Second
	loadTime   = 30 * time.Second
	loadStep   = time.Millisecond
	loadSpread = 0.3 // Standard deviation of the logarithm of the work.
)

// accountLoad is the load of one or several like accounts in the data file.
type accountLoad struct {
	Name    string  `yaml:"name"`
	Count   int     `yaml:"count"` // 0 for 1.
	Load    float64 `yaml:"load"`
	Weight  float64 `yaml:"weight"` // 0 for 1.
	Least   float64 `yaml:"least"`
	Most    float64 `yaml:"most"`     // 0 for 1.
	OffMost float64 `yaml:"off_most"` // With fair shares off; 0 for 1.
}

type sharesCase struct {
	Why      string        `yaml:"why"`
	Slots    int           `yaml:"slots"`
	Accounts []accountLoad `yaml:"accounts"`
}

// runningLoad is a request that runs until a time.
type runningLoad struct {
	key link.Key
	end time.Time
}

// loadedGate runs the accounts' requests at an admission, in steps of simulated time.
type loadedGate struct {
	admission *Admission
	now       time.Time
	random    *rand.Rand
	origins   uint64 // Nodes over which each account spreads its requests.
	number    uint64
	groups    map[link.Key]string // Name of the accounts.
	running   []runningLoad
	sent, ran map[string]float64
}

func newLoadedGate(t *testing.T, c sharesCase, seed, origins uint64, off ...string) *loadedGate {
	t.Helper()
	set, err := switches.Off(off...)
	require.NoError(t, err)
	g := &loadedGate{admission: NewAdmission(scriptService, budget.New(1, 400, time.Time{})), now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 5)),
		origins: origins, groups: map[link.Key]string{}, sent: map[string]float64{}, ran: map[string]float64{}}
	g.admission.SetSwitches(set)
	g.update(Reported{At: g.now, Report: port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: scriptService, Slots: c.Slots, Sequence: 1}})
	g.update(Confirmed{At: g.now, Upstream: port.Incarnation{ID: "i-1"}})
	return g
}

// update passes a message on and commits what is granted.
func (g *loadedGate) update(m Message) {
	for _, c := range g.admission.Update(m) {
		switch c := c.(type) {
		case Grant:
			g.update(Committed{At: g.now, Key: c.Key})
		case Start:
			g.ran[g.groups[c.Key]]++
			took := time.Duration(float64(loadWork) * math.Exp(loadSpread*g.random.NormFloat64()-loadSpread*loadSpread/2))
			g.running = append(g.running, runningLoad{key: c.Key, end: g.now.Add(took)})
		}
	}
}

// run plays the load.
func (g *loadedGate) run(c sharesCase) {
	for i := range int(loadTime / loadStep) {
		g.now = g.now.Add(loadStep)
		g.endDue()
		for _, a := range c.Accounts {
			for j := range max(a.Count, 1) {
				if g.random.Float64() < a.Load*loadStep.Seconds()/loadWork.Seconds() {
					g.offer(a.Name, j, cmp.Or(a.Weight, 1))
				}
			}
		}
		if i%50 == 0 {
			g.update(Ticked{At: g.now})
		}
	}
}

// endDue ends the requests whose time has come.
func (g *loadedGate) endDue() {
	for _, r := range slices.Clone(g.running) {
		if !r.end.After(g.now) {
			g.running = slices.DeleteFunc(g.running, func(o runningLoad) bool { return o == r })
			g.update(Ended{At: g.now, Key: r.key, Outcome: Good, Took: loadWork})
		}
	}
}

func (g *loadedGate) key(n uint64) link.Key { return link.Key{Origin: 1 + n%g.origins, Number: n} }

func (g *loadedGate) offer(group string, i int, weight float64) {
	g.number++
	g.groups[g.key(g.number)] = group
	g.sent[group]++
	g.update(Offered{At: g.now, Key: g.key(g.number), Service: scriptService, Deadline: g.now.Add(4 * loadTarget), TargetDeadline: g.now.Add(loadTarget),
		Retryable: true, Account: fmt.Sprint(group, i), Weight: weight})
}

func readSharesCases(t *testing.T) []sharesCase {
	t.Helper()
	text, err := os.ReadFile("testdata/shares/loads.yaml")
	require.NoError(t, err)
	var cases []sharesCase
	require.NoError(t, yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()))
	return cases
}

// TestAccountsShareAGate plays the loads of the data file: a hot account must not take the slots of
// accounts that ask for no more than their share, and must get all that these leave.
func TestAccountsShareAGate(t *testing.T) {
	for _, c := range readSharesCases(t) {
		for seed := range uint64(3) {
			with, without := newLoadedGate(t, c, seed, 1), newLoadedGate(t, c, seed, 1, string(switches.FairShares))
			with.run(c)
			without.run(c)
			for _, a := range c.Accounts {
				got, off := with.ran[a.Name]/with.sent[a.Name], without.ran[a.Name]/without.sent[a.Name]
				t.Logf("%s, seed %d: %s %.3f, without %.3f", c.Why, seed, a.Name, got, off)
				assert.GreaterOrEqual(t, got, a.Least, "%s: %s", c.Why, a.Name)
				assert.LessOrEqual(t, got, cmp.Or(a.Most, 1), "%s: %s", c.Why, a.Name)
				assert.LessOrEqual(t, off, cmp.Or(a.OffMost, 1), "%s: %s without", c.Why, a.Name)
			}
		}
	}
}

// An account must gain nothing by spreading its requests over many nodes.
func TestSpreadingGainsNothing(t *testing.T) {
	c := readSharesCases(t)[0]
	one, many := newLoadedGate(t, c, 1, 1), newLoadedGate(t, c, 1, 40)
	one.run(c)
	many.run(c)
	assert.Equal(t, one.ran, many.ran)
}

// However offers end, nothing may remain charged: an account would be delayed for work that it no
// longer has.
func TestEndedOffersAreNotCharged(t *testing.T) {
	c := readSharesCases(t)[0]
	g := newLoadedGate(t, c, 1, 1)
	g.run(c)
	for i, r := range g.running {
		g.update(Ended{At: g.now, Key: r.key, Outcome: Outcome(i % len(outcomeNames)), Took: loadWork})
	}
	for k := range g.groups {
		g.update(Withdrawn{At: g.now, Key: k})
		g.update(Ended{At: g.now, Key: k, Outcome: NoEvidence})
	}
	assertNothingCharged(t, g)
}

// A repeat that finds no budget left once a slot is free must not remain charged either.
func TestRepeatWithoutBudgetIsNotCharged(t *testing.T) {
	g := newLoadedGate(t, sharesCase{Slots: 1}, 1, 1)
	first, repeat := link.Key{Number: 1}, link.Key{Number: 2}
	g.update(Offered{At: g.now, Key: first, Service: scriptService, Deadline: g.now.Add(time.Minute), TargetDeadline: g.now.Add(time.Minute)})
	g.update(Offered{At: g.now, Key: repeat, Service: scriptService, Deadline: g.now.Add(time.Minute), TargetDeadline: g.now.Add(time.Minute), AttemptKind: budget.FailureRetry})
	require.Len(t, g.admission.queue, 1)
	g.admission.budget.SetBounds(0, 0)
	g.update(Ended{At: g.now, Key: first, Outcome: Good})
	assertNothingCharged(t, g)
}

// assertNothingCharged checks that the gate is without work and that accounts are delayed as at a
// new gate.
func assertNothingCharged(t *testing.T, g *loadedGate) {
	t.Helper()
	assert.Empty(t, g.admission.entries)
	fresh := overload.NewShares()
	claim := overload.Claim{Account: "a", Weight: 1, Cost: loadWork}
	for _, s := range []*overload.Shares{g.admission.shares, fresh} {
		s.Charge(g.now, claim, g.now)
		s.Charge(g.now, overload.Claim{Account: "b", Weight: 1, Cost: loadWork}, g.now)
	}
	assert.Equal(t, fresh.Delay(g.now, claim, time.Minute), g.admission.shares.Delay(g.now, claim, time.Minute))
}

// An offer with an invalid weight must be served as one of weight 1, and be counted.
func TestInvalidWeightOfAnOffer(t *testing.T) {
	counted := &weightCounts{}
	g := New(Upstream{Service: scriptService}, platform.Headers{}, zap.NewNop(), WithCounters(counted))
	now := time.Unix(1000, 0)
	for _, w := range []float64{-1, 1e9, 1e-9, math.NaN(), math.Inf(1)} {
		assert.Equal(t, 1.0, g.weightOf(now, &link.Offer{Weight: w}))
	}
	assert.Equal(t, 5, counted.invalid)
	assert.Equal(t, now.Add(weightLogEvery), g.nextWeightLog)
	assert.Equal(t, 1.0, g.weightOf(now, &link.Offer{}))
	assert.Equal(t, 2.5, g.weightOf(now, &link.Offer{Weight: 2.5}))
	assert.Equal(t, 5, counted.invalid)
}

// weightCounts counts invalid weights.
type weightCounts struct {
	noCounts
	invalid int
}

func (c *weightCounts) Count(name string) {
	if name == "gate_weight_invalid" {
		c.invalid++
	}
}
