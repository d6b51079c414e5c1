package overload

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testData is a data file: requests with their requirements, queues with their order, and
// refusals with their retry-after.
type testData struct {
	Requirements []requirementsCase `yaml:"terms"`
	Queues       []queueCase        `yaml:"queues"`
	RetryAfter   []retryCase        `yaml:"come_back"`
}

// requirementsCase is a request, with times since its arrival, and its expected requirements.
type requirementsCase struct {
	Why      string        `yaml:"why"`
	Priority int           `yaml:"priority"`
	Target   time.Duration `yaml:"target"`
	Deadline time.Duration `yaml:"deadline"`
	Parent   *parentCase   `yaml:"parent"`
	Ran      bool          `yaml:"ran"`
	Crowded  bool          `yaml:"crowded"`
	Usual    time.Duration `yaml:"usual"` // How long an answer usually takes.
	Want     struct {
		Priority int           `yaml:"priority"`
		Aim      time.Duration `yaml:"aim"`
		Deadline time.Duration `yaml:"deadline"`
		Kept     time.Duration `yaml:"kept"`
		Shed     time.Duration `yaml:"shed"` // Until when it is sent again after it was shed; not checked if 0.
	} `yaml:"want"`
}

type parentCase struct {
	Priority int           `yaml:"priority"`
	Aim      time.Duration `yaml:"aim"`
	Deadline time.Duration `yaml:"deadline"`
}

// queueCase is the content of a queue at a time, and its expected order.
type queueCase struct {
	Why     string        `yaml:"why"`
	At      time.Duration `yaml:"at"`
	Likely  time.Duration `yaml:"likely"`
	Waiting []queuedCase  `yaml:"waiting"`
	Want    []string      `yaml:"want"`
}

type queuedCase struct {
	Name     string        `yaml:"name"`
	Came     time.Duration `yaml:"came"`
	Priority int           `yaml:"priority"`
	Aim      time.Duration `yaml:"aim"`
	Deadline time.Duration `yaml:"deadline"`
}

func readTestData(t *testing.T) testData {
	t.Helper()
	text, err := os.ReadFile("testdata/overload.yaml")
	require.NoError(t, err)
	var s testData
	require.NoError(t, yaml.UnmarshalWithOptions(text, &s, yaml.Strict()))
	return s
}

func TestRequirements(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, r := range readTestData(t).Requirements {
		requirements := NewRequirements(r.Priority, begin, r.Target, begin.Add(r.Deadline))
		if p := r.Parent; p != nil {
			requirements = requirements.ForNested(Parent{Priority: p.Priority, TargetDeadline: begin.Add(p.Aim), Deadline: begin.Add(p.Deadline)})
		}
		assert.Equal(t, r.Want.Priority, requirements.Priority(), r.Why)
		assert.Equal(t, r.Want.Aim, requirements.TargetDeadline().Sub(begin), r.Why)
		assert.Equal(t, r.Want.Deadline, requirements.Deadline().Sub(begin), r.Why)
		assert.Equal(t, r.Want.Kept, requirements.KeepUntil(r.Ran, r.Crowded).Sub(begin), r.Why)
		if r.Want.Shed != 0 {
			assert.Equal(t, r.Want.Shed, requirements.RepeatShedUntil(r.Usual).Sub(begin), r.Why)
		}
	}
}

// retryCase is a refusal and the expected retry-after.
type retryCase struct {
	Why      string        `yaml:"why"`
	Priority int           `yaml:"priority"`
	Account  int           `yaml:"account"` // The priority that the client account sets.
	Wait     time.Duration `yaml:"wait"`
	Spread   float64       `yaml:"spread"`
	Want     time.Duration `yaml:"want"`
}

func TestRetryAfter(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, r := range readTestData(t).RetryAfter {
		requirements := NewRequirements(r.Priority, begin, time.Second, begin.Add(time.Second))
		if r.Account > 0 {
			requirements = requirements.ForAccount(r.Account)
			assert.Equal(t, r.Account, requirements.Priority(), r.Why)
		}
		assert.Equal(t, r.Want, requirements.RetryAfter(r.Wait, r.Spread), r.Why)
	}
}

func TestQueueOrder(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, q := range readTestData(t).Queues {
		keys := map[string]*QueueKey{}
		var names []string
		for _, w := range q.Waiting {
			at, target, deadline := begin.Add(w.Came), begin.Add(w.Aim), begin.Add(w.Deadline)
			k := NewQueueKey(at, w.Priority, PriorityStep(at, target, deadline), target, deadline)
			k.Update(begin.Add(q.At), q.Likely)
			keys[w.Name] = &k
			names = append(names, w.Name)
		}
		slices.SortStableFunc(names, func(a, b string) int { return keys[a].Compare(keys[b]) })
		assert.Equal(t, q.Want, names, q.Why)
	}
}
