package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// rankedFleet is a fleet whose nodes rank by their place in a list, the first of which asks.
type rankedFleet struct {
	nodes  []string
	ponged map[string]time.Time
	pings  []string
}

func (f *rankedFleet) Self() string    { return f.nodes[0] }
func (f *rankedFleet) Changed() uint64 { return 0 }

func (f *rankedFleet) First(_ string, without map[string]bool) string {
	for _, n := range f.nodes {
		if !without[n] {
			return n
		}
	}
	return f.Self()
}

func (f *rankedFleet) Known(string) bool                    { return true }
func (f *rankedFleet) Linked(node string) (bool, time.Time) { return true, f.ponged[node] }
func (f *rankedFleet) Dial(string) bool                     { return false }
func (f *rankedFleet) Ping(node string)                     { f.pings = append(f.pings, node) }
func (f *rankedFleet) Probe(string)                         {}
func (f *rankedFleet) reply(now time.Time, nodes ...string) {
	for _, n := range nodes {
		f.ponged[n] = now
	}
}

// A node joined as an account's home while the node behind it was cut off, and the one behind
// that stood in: the tokens of seconds 5 and 6 were 51 a second from the one and 60 from the
// other, as the home's word that it is there had gone to the next node only.

// TestWordOfAHomePassesNodesThatAreAway tells as many nodes as it takes to reach one that
// replies.
func TestWordOfAHomePassesNodesThatAreAway(t *testing.T) {
	f := &rankedFleet{nodes: []string{"home", "b", "c", "d", "e", "f"}, ponged: map[string]time.Time{}}
	h := NewHomes(f)
	now := scriptBegin
	assert.Equal(t, []string{"b", "c", "d", "e"}, h.Successors("office", now), "nobody has replied yet, and four are enough")
	assert.Equal(t, f.pings, []string{"b", "c", "d", "e"}, "each is asked for a sign of life")
	f.reply(now.Add(5*time.Millisecond), "c", "d", "e")
	now = now.Add(claimUnsettled)
	assert.Equal(t, []string{"b", "c"}, h.Successors("office", now), "b has not replied, c has")
	f.reply(now.Add(5*time.Millisecond), "b", "c")
	now = now.Add(claimUnsettled)
	assert.Equal(t, []string{"b"}, h.Successors("office", now))
	sent := len(f.pings)
	assert.Equal(t, []string{"b"}, h.Successors("other", now.Add(time.Millisecond)), "its reply is on its way")
	assert.Len(t, f.pings, sent, "one ping is enough")
	now = now.Add(claimUnsettled)
	assert.Equal(t, []string{"b", "c"}, h.Successors("office", now), "b has gone silent since it was told, and c is asked again")
	now = now.Add(claimUnsettled)
	assert.Equal(t, []string{"b", "c", "d"}, h.Successors("office", now), "c does not reply to that")
}

// TestWordOfAHomeInASmallFleet ends with the nodes that there are.
func TestWordOfAHomeInASmallFleet(t *testing.T) {
	h := NewHomes(&rankedFleet{nodes: []string{"home", "b"}, ponged: map[string]time.Time{}})
	assert.Equal(t, []string{"b"}, h.Successors("office", scriptBegin))
	h = NewHomes(&rankedFleet{nodes: []string{"home"}, ponged: map[string]time.Time{}})
	assert.Empty(t, h.Successors("office", scriptBegin))
}
