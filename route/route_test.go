package route

import (
	"math"
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cases is the data file: routes, the routes that requests match, and routes that are
// refused.
type cases struct {
	Routes  []struct{ Name, Host, Prefix string } `yaml:"routes"`
	Matches []struct{ Host, Path, Want string }   `yaml:"matches"`
	Refused []struct {
		Route Route  `yaml:"route"`
		Fault string `yaml:"fault"`
	} `yaml:"refused"`
}

func loadCases(t *testing.T) cases {
	t.Helper()
	text, err := os.ReadFile("testdata/routes.yaml")
	require.NoError(t, err)
	var c cases
	require.NoError(t, yaml.Unmarshal(text, &c))
	return c
}

func TestMatch(t *testing.T) {
	c := loadCases(t)
	d := Document{Version: 1, Services: []Service{{Name: "a"}}}
	for _, r := range c.Routes {
		d.Routes = append(d.Routes, Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Shares: []Share{{Service: "a", Weight: 1}}})
	}
	table, err := New(d)
	require.NoError(t, err)
	for _, m := range c.Matches {
		got := ""
		if r, ok := table.Match(m.Host, m.Path); ok {
			got = r.Name
		}
		assert.Equal(t, m.Want, got, "%s%s", m.Host, m.Path)
	}
}

func TestRefused(t *testing.T) {
	for _, r := range loadCases(t).Refused {
		_, err := New(Document{Version: 3, Services: []Service{{Name: "a"}}, Routes: []Route{r.Route}})
		require.Error(t, err, r.Fault)
		assert.Contains(t, err.Error(), r.Fault)
	}
}

// TestPickKeepsWeights checks that every 100 consecutive picks match the weights.
func TestPickKeepsWeights(t *testing.T) {
	table, err := New(Document{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Shares: []Share{{"a", 70}, {"b", 20}, {"c", 10}}}}})
	require.NoError(t, err)
	r, ok := table.Match("h", "/")
	require.True(t, ok)
	for range 20 {
		counts := map[string]float64{}
		for range 100 {
			counts[r.Pick()]++
		}
		for service, want := range map[string]float64{"a": 70, "b": 20, "c": 10} {
			assert.LessOrEqual(t, math.Abs(counts[service]-want), 3.0, service)
		}
	}
}
