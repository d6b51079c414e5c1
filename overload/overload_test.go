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

// sheet is a data file: requests with their terms, and queues with their order.
type sheet struct {
	Terms  []termsRow `yaml:"terms"`
	Queues []queueRow `yaml:"queues"`
	Backs  []backRow  `yaml:"come_back"`
}

// termsRow is a request, as times since its arrival, and what its terms have to be.
type termsRow struct {
	Why      string        `yaml:"why"`
	Priority int           `yaml:"priority"`
	Target   time.Duration `yaml:"target"`
	Deadline time.Duration `yaml:"deadline"`
	Parent   *parentRow    `yaml:"parent"`
	Ran      bool          `yaml:"ran"`
	Crowded  bool          `yaml:"crowded"`
	Want     struct {
		Priority int           `yaml:"priority"`
		Aim      time.Duration `yaml:"aim"`
		Deadline time.Duration `yaml:"deadline"`
		Kept     time.Duration `yaml:"kept"`
	} `yaml:"want"`
}

type parentRow struct {
	Priority int           `yaml:"priority"`
	Aim      time.Duration `yaml:"aim"`
	Deadline time.Duration `yaml:"deadline"`
}

// queueRow is what waits at a moment, and the order in which it goes.
type queueRow struct {
	Why     string        `yaml:"why"`
	At      time.Duration `yaml:"at"`
	Likely  time.Duration `yaml:"likely"`
	Waiting []placeRow    `yaml:"waiting"`
	Want    []string      `yaml:"want"`
}

type placeRow struct {
	Name     string        `yaml:"name"`
	Came     time.Duration `yaml:"came"`
	Priority int           `yaml:"priority"`
	Aim      time.Duration `yaml:"aim"`
	Deadline time.Duration `yaml:"deadline"`
}

func readSheet(t *testing.T) sheet {
	t.Helper()
	text, err := os.ReadFile("testdata/overload.yaml")
	require.NoError(t, err)
	var s sheet
	require.NoError(t, yaml.UnmarshalWithOptions(text, &s, yaml.Strict()))
	return s
}

func TestTerms(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, r := range readSheet(t).Terms {
		terms := NewTerms(r.Priority, begin, r.Target, begin.Add(r.Deadline))
		if p := r.Parent; p != nil {
			terms = terms.ForCall(Parent{Priority: p.Priority, Aim: begin.Add(p.Aim), Deadline: begin.Add(p.Deadline)})
		}
		assert.Equal(t, r.Want.Priority, terms.Priority(), r.Why)
		assert.Equal(t, r.Want.Aim, terms.Aim().Sub(begin), r.Why)
		assert.Equal(t, r.Want.Deadline, terms.Deadline().Sub(begin), r.Why)
		assert.Equal(t, r.Want.Kept, terms.KeptUntil(r.Ran, r.Crowded).Sub(begin), r.Why)
	}
}

// backRow is a refusal, and when its caller has to be told to come back.
type backRow struct {
	Why      string        `yaml:"why"`
	Priority int           `yaml:"priority"`
	Account  int           `yaml:"account"` // The priority by the account's word as well.
	Wait     time.Duration `yaml:"wait"`
	Spread   float64       `yaml:"spread"`
	Want     time.Duration `yaml:"want"`
}

func TestComeBack(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, r := range readSheet(t).Backs {
		terms := NewTerms(r.Priority, begin, time.Second, begin.Add(time.Second))
		if r.Account > 0 {
			terms = terms.ForAccount(r.Account)
			assert.Equal(t, r.Account, terms.Priority(), r.Why)
		}
		assert.Equal(t, r.Want, terms.ComeBack(r.Wait, r.Spread), r.Why)
	}
}

func TestPlaces(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, q := range readSheet(t).Queues {
		places := map[string]*Place{}
		var names []string
		for _, w := range q.Waiting {
			p := NewPlace(begin.Add(w.Came), w.Priority, begin.Add(w.Aim), begin.Add(w.Deadline))
			p.Note(begin.Add(q.At), q.Likely)
			places[w.Name] = &p
			names = append(names, w.Name)
		}
		slices.SortStableFunc(names, func(a, b string) int { return places[a].Compare(places[b]) })
		assert.Equal(t, q.Want, names, q.Why)
	}
}
