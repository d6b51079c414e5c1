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
	Why        string                   `yaml:"why"`
	Runs       []nestedRuns             `yaml:"runs"`
	Latest     string                   `yaml:"latest"` // Where the latest nested request found room; 'none' if none has ended.
	Took       time.Duration            `yaml:"took"`   // How long that took.
	Idle       time.Duration            `yaml:"idle"`   // Time between the runs and the offers.
	Waits      map[string]time.Duration `yaml:"waits"`
	Target     time.Duration            `yaml:"target"` // 0 for 2.5 s.
	Offers     int                      `yaml:"offers"` // 0 for one.
	Refused    int                      `yaml:"refused"`
	By         string                   `yaml:"by"`
	RetryAfter time.Duration            `yaml:"retry_after"`
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
	for ms := time.Duration(0); ms <= n.Took; ms += 10 * time.Millisecond {
		for _, c := range n.Calls {
			if c.Until > 0 && c.Until == ms {
				r.End(start.Add(ms), c.To)
			}
			if c.From == ms {
				r.Begin(start.Add(ms), c.To)
			}
		}
	}
	return r
}

func TestNestedDemand(t *testing.T) {
	text, err := os.ReadFile("testdata/nested.yaml")
	require.NoError(t, err)
	var cases []nestedCase
	require.NoError(t, yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()))
	for _, c := range cases {
		t.Run(c.Why, func(t *testing.T) {
			var d NestedDemand
			now := time.Unix(1000, 0)
			for _, r := range c.Runs {
				for range r.Count {
					d.NoteRun(now.Add(r.Took), 7, r.record(now), r.Took, !r.Failed)
				}
				now = now.Add(r.Took)
			}
			c.noteCalls(&d, now)
			c.check(t, &d, now.Add(c.Idle))
		})
	}
}

// noteCalls reports nested requests to all services, which found no room unless the case says so.
func (c nestedCase) noteCalls(d *NestedDemand, now time.Time) {
	for service := range c.Waits {
		if c.Latest != "none" {
			d.NoteCall(now, 7, service, c.Took, service == c.Latest)
		}
	}
}

// check makes the offers and compares what is refused.
func (c nestedCase) check(t *testing.T, d *NestedDemand, now time.Time) {
	t.Helper()
	target := c.Target
	if target == 0 {
		target = 2500 * time.Millisecond
	}
	refused := 0
	for range max(c.Offers, 1) {
		service, retryAfter, refuse := d.Refuse(now, 7, now.Add(target), now.Add(15*time.Second), func(service string) (time.Duration, bool) {
			wait, known := c.Waits[service]
			return wait, known
		})
		if refuse {
			refused++
			assert.Equal(t, c.By, service)
			assert.Equal(t, c.RetryAfter, retryAfter)
		}
	}
	assert.Equal(t, c.Refused, refused)
}

// noRoom reports a long wait at every service.
func noRoom(string) (time.Duration, bool) { return 20 * time.Second, true }

// Callers choose neither kinds nor services without bound, but a faulty configuration or upstream
// may. The state must stay bounded, and the first kinds and services must still be known.
func TestNestedDemandIsBounded(t *testing.T) {
	var d NestedDemand
	now := time.Unix(1000, 0)
	for kind := range uint32(maxNestedKinds + 50) {
		for range minNestedRuns {
			var r NestedRun
			for i := range maxNestedServices + 5 {
				name := fmt.Sprintf("service-%d", i)
				r.Begin(now, name)
				r.End(now, name)
				d.NoteCall(now, kind, name, time.Second, false)
			}
			d.NoteRun(now, kind, &r, time.Second, true)
		}
	}
	assert.Len(t, d.kinds, maxNestedKinds)
	assert.Len(t, d.kinds[0].services, maxNestedServices)
	_, _, refuse := d.Refuse(now, 0, now.Add(time.Second), now.Add(time.Second), noRoom)
	assert.True(t, refuse)
	_, _, refuse = d.Refuse(now, maxNestedKinds+1, now.Add(time.Second), now.Add(time.Second), noRoom)
	assert.False(t, refuse, "no space was left for it")
	later := now.Add(nestedRetention)
	var r NestedRun
	r.Begin(later, "fonts")
	d.NoteRun(later, maxNestedKinds+1, &r, time.Second, true)
	assert.Len(t, d.kinds, 1, "expired kinds make space")
}

// A service that runs no longer lead to, as after a new configuration, must be forgotten.
func TestNestedServiceIsForgotten(t *testing.T) {
	var d NestedDemand
	now := time.Unix(1000, 0)
	for i := range 150 {
		var r NestedRun
		if i < 10 {
			r.Begin(now, "fonts")
			r.End(now, "fonts")
		}
		d.NoteRun(now, 7, &r, time.Second, true)
	}
	assert.Empty(t, d.kinds[7].services)
}

// BenchmarkNestedRefuse decides on an offer while all kinds are known.
func BenchmarkNestedRefuse(b *testing.B) {
	var d NestedDemand
	now := time.Unix(1000, 0)
	for kind := range uint32(maxNestedKinds) {
		for range minNestedRuns {
			var r NestedRun
			r.Begin(now, "fonts")
			r.End(now, "fonts")
			d.NoteRun(now, kind, &r, time.Second, true)
			d.NoteCall(now, kind, "fonts", time.Second, false)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		d.Refuse(now, 7, now.Add(time.Second), now.Add(time.Second), noRoom)
	}
}
