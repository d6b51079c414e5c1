package route

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/overload"
)

// TestAccounts checks the faults of the lists of accounts in the data file.
func TestAccounts(t *testing.T) {
	text, err := os.ReadFile("testdata/accounts.yaml")
	require.NoError(t, err)
	var cases []struct {
		Why      string    `yaml:"why"`
		Accounts []Account `yaml:"accounts"`
		Faults   []string  `yaml:"faults"`
	}
	require.NoError(t, yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()))
	for _, c := range cases {
		table, err := New(Document{Version: 3, Accounts: c.Accounts})
		if len(c.Faults) == 0 {
			require.NoError(t, err, c.Why)
			assert.Equal(t, len(c.Accounts) > 0, table.HasAccounts(), c.Why)
			continue
		}
		require.Error(t, err, c.Why)
		for _, fault := range c.Faults {
			assert.Contains(t, err.Error(), fault, c.Why)
		}
		for _, a := range c.Accounts {
			for _, key := range a.Keys {
				if key != "" {
					assert.NotContains(t, err.Error(), key, "the error contains a key: "+c.Why)
				}
			}
		}
	}
}

func TestAccountOf(t *testing.T) {
	table, err := New(Document{Version: 1, Accounts: []Account{
		{Name: "office", Keys: []string{"key-1", "key-2"}, Rate: 5, Burst: 2}, {Name: "court", Keys: []string{"key-3"}, Priority: 1}}})
	require.NoError(t, err)
	for key, want := range map[string]string{"key-1": "office", "key-2": "office", "key-3": "court", "key-": "", "key-11": "", "": ""} {
		name := ""
		if a, ok := table.AccountOf(key); ok {
			name = a.Name
			assert.Empty(t, a.Keys, "a table keeps no key")
		}
		assert.Equal(t, want, name, key)
	}
	office, ok := table.Account("office")
	require.True(t, ok)
	assert.True(t, office.Limited())
	court, ok := table.Account("court")
	require.True(t, ok)
	assert.False(t, court.Limited())
}

// TestDefaultWeights guards against default weights out of bounds or that do not follow the rates.
func TestDefaultWeights(t *testing.T) {
	table, err := New(Document{Version: 1, Accounts: []Account{
		{Name: "small", Rate: 1}, {Name: "large", Rate: 8}, {Name: "own", Rate: 3, Weight: 2.5}, {Name: "unlimited"}, {Name: "tiny", Rate: 1e-6}}})
	require.NoError(t, err)
	for name, want := range map[string]float64{"small": 1.0 / 3, "large": 8.0 / 3, "own": 2.5, "unlimited": 1, "tiny": overload.MinWeight} {
		assert.InDelta(t, want, table.accounts.byName[name].Weight, 1e-6, name)
	}
}

// TestAccountPriorityTakesPrecedence checks that requests are ordered by their accounts'
// priorities before their routes'.
func TestAccountPriorityTakesPrecedence(t *testing.T) {
	table, err := New(Document{Version: 1, Services: []Service{{Name: "s"}},
		Routes:   []Route{{Name: "order", Host: "h", Prefix: "/a/", Priority: 0, Shares: []Share{{"s", 1}}}, {Name: "lookup", Host: "h", Prefix: "/b/", Priority: 2, Shares: []Share{{"s", 1}}}},
		Accounts: []Account{{Name: "first"}, {Name: "second", Priority: 1}}})
	require.NoError(t, err)
	order, _ := table.Match("h", "/a/")
	lookup, _ := table.Match("h", "/b/")
	first, _ := table.Account("first")
	second, _ := table.Account("second")
	priorities := []int{table.Priority(order, first), table.Priority(lookup, first), table.Priority(order, second), table.Priority(lookup, second)}
	assert.IsIncreasing(t, priorities)
	assert.Equal(t, table.Priority(order, second), table.NestedPriority(order, table.Priority(lookup, second)), "a nested request keeps the priority of its parent's account")
	assert.Equal(t, 2, table.NestedPriority(lookup, table.Priority(order, nil)), "a nested request of a parent without an account")
	assert.Equal(t, []int{0, 2}, []int{table.Priority(order, nil), table.Priority(lookup, nil)}, "without an account by the route alone")
}

// largeDocument returns a document of the largest size that the design supports.
func largeDocument() Document {
	d := Document{Version: 1, Services: []Service{{Name: "s"}}}
	for i := range 10_000 {
		d.Routes = append(d.Routes, Route{Name: fmt.Sprint(i), Host: fmt.Sprintf("h%d.example", i/10), Prefix: fmt.Sprintf("/p%d/", i), Shares: []Share{{"s", 1}}})
	}
	for i := range 340_000 {
		d.Accounts = append(d.Accounts, Account{Name: fmt.Sprintf("account-%d", i), Keys: []string{fmt.Sprintf("key-%020d", i)}, Rate: 3, Burst: 3})
	}
	return d
}

// BenchmarkLargeTable builds a table of 10,000 routes and 340,000 accounts and reports how
// much memory it holds.
func BenchmarkLargeTable(b *testing.B) {
	d := largeDocument()
	var before, after runtime.MemStats
	var table *Table
	for b.Loop() {
		table = nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		var err error
		table, err = New(d)
		require.NoError(b, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
	runtime.KeepAlive(table)
}

// BenchmarkAccountOf looks up an account among 340,000 by its key.
func BenchmarkAccountOf(b *testing.B) {
	table, err := New(largeDocument())
	require.NoError(b, err)
	key := fmt.Sprintf("key-%020d", 123_456)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.AccountOf(key); !ok {
			b.Fatal("the account is not found")
		}
	}
}
