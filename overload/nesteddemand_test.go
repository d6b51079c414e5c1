package overload

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// nestedCase is runs of one kind of request, and offers of that kind afterwards.
type nestedCase struct {
	Why      string                   `yaml:"why"`
	Runs     []nestedRuns             `yaml:"runs"`
	Found    time.Duration            `yaml:"found"`
	Idle     time.Duration            `yaml:"idle"` // Time between the runs and the offers.
	Waits    map[string]time.Duration `yaml:"waits"`
	Target   time.Duration            `yaml:"target"`
	Offers   int                      `yaml:"offers"` // 0 for one.
	Admitted int                      `yaml:"admitted"`
	Refused  map[string]time.Duration `yaml:"refused"` // By which service and with which retry-after the others are.
}

type nestedRuns struct {
	Count  int           `yaml:"count"`
	Took   time.Duration `yaml:"took"`
	Failed bool          `yaml:"failed"`
	Calls  []struct {
		To    string        `yaml:"to"`
		From  time.Duration `yaml:"from"`
		Until time.Duration `yaml:"until"` // 0 if it does not end.
	} `yaml:"calls"`
}

// record returns one of the runs, which starts at a time.
func (n nestedRuns) record(start time.Time) *NestedRun {
	r := &NestedRun{}
	for after := time.Duration(0); after <= n.Took; after += 10 * time.Millisecond {
		for _, c := range n.Calls {
			if c.Until > 0 && c.Until == after {
				r.End(start.Add(after), c.To)
			}
			if c.From == after {
				r.Begin(start.Add(after), c.To)
			}
		}
	}
	return r
}

// Requests whose nested requests would find no room must be refused with the service and its wait,
// and no others: a refusal without need loses work that would have been served.
func TestNestedDemand(t *testing.T) {
	text, err := os.ReadFile("testdata/nested.yaml")
	require.NoError(t, err)
	var cases []nestedCase
	require.NoError(t, yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()))
	for _, c := range cases {
		var d NestedDemand
		now := time.Unix(1000, 0)
		for _, r := range c.Runs {
			for range r.Count {
				d.NoteRun(now, 7, r.record(now.Add(-r.Took)), r.Took, !r.Failed)
			}
		}
		for service := range c.Waits {
			d.NoteNested(now, 7, service, c.Found, c.Found > 0)
		}
		c.check(t, &d, now.Add(c.Idle))
	}
}

// check makes the offers and compares what is refused.
func (c nestedCase) check(t *testing.T, d *NestedDemand, now time.Time) {
	t.Helper()
	if c.Target == 0 {
		c.Target = 2500 * time.Millisecond
	}
	admitted, refused := 0, map[string]time.Duration{}
	for range max(c.Offers, 1) {
		service, retryAfter, refuse := d.Refuse(now, 7, now.Add(c.Target), now.Add(15*time.Second), func(service string) (time.Duration, bool) {
			wait, known := c.Waits[service]
			return wait, known
		})
		if refuse {
			refused[service] = retryAfter
		} else {
			admitted++
		}
	}
	if c.Refused == nil {
		c.Refused, c.Admitted = map[string]time.Duration{}, max(c.Offers, 1)
	}
	assert.Equal(t, c.Refused, refused, c.Why)
	assert.Equal(t, c.Admitted, admitted, c.Why)
}

// A faulty upstream or configuration may bring any number of kinds and services. The state must stay
// bounded, and services that runs no longer lead to must be forgotten.
func TestNestedDemandIsBounded(t *testing.T) {
	var d NestedDemand
	now := time.Unix(1000, 0)
	for kind := range uint32(maxNestedKinds + 50) {
		var r NestedRun
		for i := range maxNestedServices + 5 {
			r.Begin(now, fmt.Sprintf("service-%d", i))
		}
		d.NoteRun(now, kind, &r, time.Second, true)
	}
	assert.Len(t, d.kinds, maxNestedKinds)
	assert.Len(t, d.kinds[0].services, maxNestedServices)
	for range 150 {
		d.NoteRun(now, 0, &NestedRun{}, time.Second, true)
	}
	assert.Empty(t, d.kinds[0].services)
	later := &NestedRun{}
	later.Begin(now.Add(nestedRetention), "fonts")
	d.NoteRun(now.Add(nestedRetention), maxNestedKinds+1, later, time.Second, true)
	assert.Len(t, d.kinds, 1, "expired kinds make space")
}
