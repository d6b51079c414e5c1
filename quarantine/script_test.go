package quarantine

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// script is a case of tracker.yaml. Fingerprints are named by one letter.
type script struct {
	Why   string `yaml:"why"`
	Steps []struct {
		At       time.Duration `yaml:"at"`
		Ended    string        `yaml:"ended"` // The request during which an upstream crashed.
		Upstream string        `yaml:"upstream"`
		Began    time.Duration `yaml:"began"`
		Answered string        `yaml:"answered"`
		Lifted   string        `yaml:"lifted"`
		Heard    *struct {
			Request  string        `yaml:"request"`
			Ended    []string      `yaml:"ended"`
			Repeated bool          `yaml:"repeated"`
			Cleared  uint32        `yaml:"cleared"`
			Left     time.Duration `yaml:"left"`
			Holds    uint32        `yaml:"holds"`
			Hold     time.Duration `yaml:"hold"`
		} `yaml:"heard"`
		Ticked bool     `yaml:"ticked"` // No message but the current time.
		Want   []string `yaml:"want"`
	} `yaml:"steps"`
}

var scriptStart = time.Unix(1000, 0)

func fingerprint(name string) (f Fingerprint) {
	copy(f[:], name)
	return f
}

func nameOf(f Fingerprint) string { return string(f[:1]) }

func formatAll(commands []Command) (out []string) {
	for _, c := range commands {
		switch c := c.(type) {
		case Broadcast:
			out = append(out, "tell "+describe(c.Record))
		case Relay:
			out = append(out, "pass "+describe(c.Record))
		case Quarantined:
			out = append(out, fmt.Sprintf("hold %s own=%t", nameOf(c.Record.Fingerprint), c.Own))
		case Release:
			out = append(out, fmt.Sprintf("release %s own=%t: %s", nameOf(c.Fingerprint), c.Own, c.Cause))
		}
	}
	return out
}

func describe(r Record) string {
	text := fmt.Sprintf("%s %v repeated=%t cleared=%d left=%s", nameOf(r.Fingerprint), r.Crashed, r.Repeated, r.Cleared, r.TTL)
	if r.Quarantines > 0 {
		text += fmt.Sprintf(" holds=%d hold=%s", r.Quarantines, r.Remaining)
	}
	return text
}

func TestTracker(t *testing.T) {
	text, err := os.ReadFile("testdata/tracker.yaml")
	require.NoError(t, err)
	var scripts map[string]script
	require.NoError(t, yaml.UnmarshalWithOptions(text, &scripts, yaml.Strict()))
	for name, s := range scripts {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for i, step := range s.Steps {
				at := scriptStart.Add(step.At)
				var m Message
				switch {
				case step.Ended != "":
					m = Crashed{At: at, Fingerprint: fingerprint(step.Ended), Upstream: step.Upstream, Began: scriptStart.Add(step.Began)}
				case step.Answered != "":
					m = Answered{At: at, Fingerprint: fingerprint(step.Answered)}
				case step.Lifted != "":
					m = Lifted{At: at, Fingerprint: fingerprint(step.Lifted)}
				case step.Heard != nil:
					h := step.Heard
					m = Received{At: at, Records: []Record{{Fingerprint: fingerprint(h.Request), Crashed: h.Ended, Repeated: h.Repeated, Cleared: h.Cleared, TTL: h.Left, Quarantines: h.Holds, Remaining: h.Hold}}}
				default:
					m = Ticked{At: at}
				}
				assert.Equal(t, step.Want, append([]string{}, formatAll(tracker.Update(m))...), "step %d", i+1)
			}
		})
	}
}

// TestMergeOrderDoesNotMatter guards against nodes that received the same records in different
// orders and quarantine different requests.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	records := []Record{
		{Crashed: []string{"a"}, TTL: time.Hour},
		{Crashed: []string{"b", "c"}, TTL: time.Hour},
		{Crashed: []string{"d"}, Repeated: true, TTL: time.Hour},
		{Cleared: 1, TTL: time.Hour},
		{Crashed: []string{"e"}, Cleared: 1, TTL: time.Hour},
	}
	var orders [][]int
	permute(nil, []int{0, 1, 2, 3, 4}, &orders)
	for _, chosen := range [][]int{{0, 1, 2}, {0, 1, 2, 3, 4}} {
		for _, order := range orders {
			tracker := NewTracker()
			for _, i := range order {
				if i < len(chosen) {
					record := records[chosen[i]]
					record.Fingerprint = fingerprint("p")
					tracker.Update(Received{At: scriptStart, Records: []Record{record}})
				}
			}
			e := tracker.entries[fingerprint("p")]
			if len(chosen) == 3 {
				assert.True(t, e.quarantined, "order %v", order)
				continue
			}
			assert.Equal(t, []string{"e"}, e.Crashed, "order %v", order)
			assert.False(t, e.quarantined, "order %v", order)
		}
	}
}

func permute(done, left []int, out *[][]int) {
	if len(left) == 0 {
		*out = append(*out, append([]int(nil), done...))
		return
	}
	for i := range left {
		rest := append(append([]int(nil), left[:i]...), left[i+1:]...)
		permute(append(append([]int(nil), done...), left[i]), rest, out)
	}
}

// TestTrackerIsBounded checks that the number of records is bounded, and that requests during
// which more than one upstream crashed are kept.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	tracker.Update(Received{At: scriptStart, Records: []Record{{Fingerprint: fingerprint("held"), Crashed: []string{"a", "b", "c"}, Repeated: true, TTL: time.Hour}}})
	for i := range 2 * maxRecords {
		tracker.Update(Crashed{At: scriptStart, Fingerprint: FingerprintOf("GET", "office.example", fmt.Sprint(i), "", nil), Upstream: "u", Began: scriptStart})
	}
	assert.Len(t, tracker.entries, maxRecords)
	assert.Len(t, tracker.quarantined(), 1)
}

// TestFingerprintsDiffer changes each part of a request: no two requests may have the same
// fingerprint, even if the concatenation of their parts is equal.
func TestFingerprintsDiffer(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, f := range []Fingerprint{
		FingerprintOf("GET", "h", "/a", "", nil), FingerprintOf("POST", "h", "/a", "", nil), FingerprintOf("GET", "h2", "/a", "", nil),
		FingerprintOf("GET", "h", "/a?b=1", "", nil), FingerprintOf("GET", "h", "/a", "x", nil), FingerprintOf("GET", "h", "/a", "", []byte("x")),
		FingerprintOf("GET", "h/", "a", "", nil),
	} {
		assert.False(t, seen[f])
		seen[f] = true
		again, ok := ParseFingerprint(f.String())
		assert.True(t, ok)
		assert.Equal(t, f, again)
	}
	for _, text := range []string{"", "zz", "00", "00112233445566778899aabbccddeeff00"} {
		_, ok := ParseFingerprint(text)
		assert.False(t, ok, text)
	}
}
