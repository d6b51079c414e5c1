package quota

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// limiterScript is a case of limiter.yaml.
type limiterScript struct {
	Why   string `yaml:"why"`
	Nodes int    `yaml:"nodes"`
	Steps []struct {
		At         time.Duration `yaml:"at"`
		Wanted     uint64        `yaml:"wanted"`
		Home       string        `yaml:"home"`
		Answered   uint64        `yaml:"answered"`
		Granted    bool          `yaml:"granted"`
		Unknown    bool          `yaml:"unknown"`
		After      time.Duration `yaml:"after"`
		Unanswered uint64        `yaml:"unanswered"`
		Next       uint64        `yaml:"next"`
		Returned   bool          `yaml:"returned"`
		Lost       string        `yaml:"lost"`
		Flushed    bool          `yaml:"flushed"`
		Want       []string      `yaml:"want"`
	} `yaml:"steps"`
}

// homeScript is a case of home.yaml.
type homeScript struct {
	Why   string  `yaml:"why"`
	Share float64 `yaml:"share"`
	// Settled selects a home whose fleet has been unchanged for long.
	Settled bool `yaml:"settled"`
	Steps   []struct {
		At       time.Duration `yaml:"at"`
		From     string        `yaml:"from"` // "a" if omitted.
		Rate     float64       `yaml:"rate"` // Rate of a limit that replaces scriptLimit.
		Asked    int           `yaml:"asked"`
		Reported int           `yaml:"reported"`
		Resigned string        `yaml:"resigned"` // Way to the home that has returned.
		Acting   bool          `yaml:"acting"`
		Want     []string      `yaml:"want"`
	} `yaml:"steps"`
}

var (
	scriptStart = time.Unix(1000, 0)
	scriptLimit = Limit{Rate: 10, Burst: 10}
)

func readScripts(t *testing.T, file string, into any) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + file)
	require.NoError(t, err)
	require.NoError(t, yaml.UnmarshalWithOptions(text, into, yaml.Strict()))
}

// formatAll returns commands in the notation of the scripts.
func formatAll(commands []Command) []string {
	var out []string
	for _, c := range commands {
		out = append(out, format(c))
	}
	return out
}

func format(c Command) string {
	suffix := ""
	switch c := c.(type) {
	case Admit:
		return fmt.Sprintf("admit %d", c.Number)
	case Refuse:
		if c.Unconfirmed {
			suffix = " unconfirmed"
		}
		return fmt.Sprintf("refuse %d after %v%s", c.Number, c.RetryAfter, suffix)
	case RequestToken:
		return fmt.Sprintf("ask %s %d spent %d", c.To, c.Number, c.Spent)
	case Claim:
		return "claim"
	case OverLimit:
		return fmt.Sprintf("over by %d", c.Refused)
	case Report:
		return fmt.Sprintf("report %s %d", c.To, c.Count)
	case Answer:
		if c.Granted {
			return fmt.Sprintf("grant %s %d", c.To, c.Number)
		}
		return fmt.Sprintf("deny %s %d after %v", c.To, c.Number, c.RetryAfter.Round(time.Millisecond))
	default:
		return "unknown"
	}
}

func TestLimiter(t *testing.T) {
	var scripts []limiterScript
	readScripts(t, "limiter.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Why, func(t *testing.T) {
			l := NewLimiter(Bounds{Window: 5 * time.Second}, func() float64 { return 0.5 })
			l.SetNodes(script.Nodes)
			for i, step := range script.Steps {
				at := scriptStart.Add(step.At)
				var m Message
				switch {
				case step.Wanted > 0:
					m = TokenWanted{At: at, Number: step.Wanted, Account: "office", Limit: scriptLimit, Home: step.Home}
				case step.Answered > 0:
					m = Answered{At: at, Number: step.Answered, Granted: step.Granted, Unknown: step.Unknown, RetryAfter: step.After}
				case step.Unanswered > 0:
					m = Unanswered{At: at, Number: step.Unanswered, Next: step.Next, Home: step.Home}
				case step.Returned:
					m = Returned{At: at, Account: "office"}
				case step.Lost != "":
					m = HomeLost{At: at, Home: step.Lost}
				case step.Flushed:
					m = FlushDue{At: at}
				}
				assert.Equal(t, step.Want, formatAll(l.Update(m)), "step %d", i)
			}
		})
	}
}

func TestHome(t *testing.T) {
	var scripts []homeScript
	readScripts(t, "home.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Why, func(t *testing.T) {
			h := NewHome(Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 34})
			if !script.Settled {
				h.MarkUncertain(scriptStart)
			}
			if script.Share > 0 {
				h.SetShare(script.Share)
			}
			for i, step := range script.Steps {
				at := scriptStart.Add(step.At)
				limit := scriptLimit
				if step.Rate > 0 {
					limit = Limit{Rate: step.Rate}
				}
				from := step.From
				if from == "" {
					from = "a"
				}
				var commands []Command
				for n := range step.Asked {
					commands = append(commands, h.Update(TokenRequested{At: at, From: from, Number: uint64(n + 1), Account: "office", Limit: limit, Acting: step.Acting})...)
				}
				if step.Reported != 0 {
					commands = h.Update(Reported{At: at, Account: "office", Limit: limit, Count: step.Reported, Acting: step.Acting})
				}
				if step.Resigned != "" {
					commands = h.Update(HomeReturned{At: at, Account: "office", To: step.Resigned})
				}
				assert.Equal(t, step.Want, formatAll(commands), "step %d", i)
			}
		})
	}
}

// TestForgetsIdleAccounts guards against a leak: accounts that are unused for a minute must be
// removed, both at the home and at the nodes that received their requests.
func TestForgetsIdleAccounts(t *testing.T) {
	b := Bounds{Window: 5 * time.Second}
	h, l := NewHome(b), NewLimiter(b, func() float64 { return 0.5 })
	for n := range uint64(100) {
		name := fmt.Sprint(n)
		h.Update(TokenRequested{At: scriptStart, From: "a", Number: n, Account: name, Limit: scriptLimit})
		l.Update(TokenWanted{At: scriptStart, Number: n, Account: name, Limit: scriptLimit, Home: "h"})
		l.Update(Answered{At: scriptStart, Number: n, Granted: true})
	}
	assert.Len(t, h.Uses(scriptStart, 1000), 100)
	later := scriptStart.Add(idleTime + time.Second)
	h.Update(Reported{At: later, Account: "one", Limit: scriptLimit})
	l.Update(FlushDue{At: later})
	assert.Len(t, h.Uses(later, 1000), 1, "the one that was just reported for")
	assert.Empty(t, l.accounts)
}
