package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// rankedFleet is a fleet whose nodes rank by their position in a list; the first is the caller.
type rankedFleet struct {
	nodes   []string
	replied map[string]time.Time
	pings   []string
	// incomplete is set while the fleet may have other nodes.
	incomplete bool
}

func (f *rankedFleet) Self() string    { return f.nodes[0] }
func (f *rankedFleet) Changed() uint64 { return 0 }

func (f *rankedFleet) First(_ string, excluded map[string]bool) string {
	for _, n := range f.nodes {
		if !excluded[n] {
			return n
		}
	}
	return f.Self()
}

func (f *rankedFleet) Complete() bool                       { return !f.incomplete }
func (f *rankedFleet) Known(string) bool                    { return true }
func (f *rankedFleet) Linked(node string) (bool, time.Time) { return true, f.replied[node] }
func (f *rankedFleet) Dial(string) bool                     { return false }
func (f *rankedFleet) Ping(node string)                     { f.pings = append(f.pings, node) }
func (f *rankedFleet) Probe(string)                         {}
func (f *rankedFleet) reply(now time.Time, nodes ...string) {
	for _, n := range nodes {
		f.replied[n] = now
	}
}

// A claim that is sent to the next node in rank only is lost if that node is cut off: the node
// after it then acts as a second home.

// TestClaimPassesUnreachableNodes checks that a claim is sent to successors up to the first
// that replies.
func TestClaimPassesUnreachableNodes(t *testing.T) {
	f := &rankedFleet{nodes: []string{"home", "b", "c", "d", "e", "f"}, replied: map[string]time.Time{}}
	h := NewHomes(f)
	now := scriptStart
	assert.Equal(t, []string{"b", "c", "d", "e"}, h.Successors("office", now), "nobody has replied yet, and four are enough")
	assert.Equal(t, f.pings, []string{"b", "c", "d", "e"}, "each is pinged")
	f.reply(now.Add(5*time.Millisecond), "c", "d", "e")
	now = now.Add(claimIntervalUncertain)
	assert.Equal(t, []string{"b", "c"}, h.Successors("office", now), "b has not replied, c has")
	f.reply(now.Add(5*time.Millisecond), "b", "c")
	now = now.Add(claimIntervalUncertain)
	assert.Equal(t, []string{"b"}, h.Successors("office", now))
	sent := len(f.pings)
	assert.Equal(t, []string{"b"}, h.Successors("other", now.Add(time.Millisecond)), "its reply is pending")
	assert.Len(t, f.pings, sent, "one ping is enough")
	now = now.Add(claimIntervalUncertain)
	assert.Equal(t, []string{"b", "c"}, h.Successors("office", now), "b has not answered its last ping, and c is pinged again")
	now = now.Add(claimIntervalUncertain)
	assert.Equal(t, []string{"b", "c", "d"}, h.Successors("office", now), "c does not reply to that")
}

// TestClaimInSmallFleet checks that there are no more successors than other nodes.
func TestClaimInSmallFleet(t *testing.T) {
	h := NewHomes(&rankedFleet{nodes: []string{"home", "b"}, replied: map[string]time.Time{}})
	assert.Equal(t, []string{"b"}, h.Successors("office", scriptStart))
	h = NewHomes(&rankedFleet{nodes: []string{"home"}, replied: map[string]time.Time{}})
	assert.Empty(t, h.Successors("office", scriptStart))
}

// A node that knows no others yet must not take itself for the home of an account, nor admit a share of its limit: in a
// fleet that starts at once, each of them would.
func TestNodeThatKnowsNoOthersIsHome(t *testing.T) {
	f := &rankedFleet{nodes: []string{"a"}, incomplete: true}
	h := NewHomes(f)
	assert.Equal(t, Location{Pending: true}, h.Of("office", scriptStart))
	l := NewLimiter(Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}, func() float64 { return 0.5 })
	l.SetNodes(0)
	limit := Limit{Rate: 1000, Burst: 1000}
	for i := range 100 {
		out := l.Update(TokenWanted{At: scriptStart.Add(time.Duration(i) * 50 * time.Millisecond), Number: uint64(i), Account: "office", Limit: limit})
		assert.IsType(t, Refuse{}, out[0])
		assert.True(t, out[0].(Refuse).Unconfirmed)
	}
	f.incomplete = false
	assert.Equal(t, Location{Home: "a", Via: "a"}, h.Of("office", scriptStart))
	l.SetNodes(1)
	out := l.Update(TokenWanted{At: scriptStart.Add(time.Minute), Number: 1000, Account: "office", Limit: limit})
	assert.Equal(t, []Command{Admit{Number: 1000}}, out)
}
