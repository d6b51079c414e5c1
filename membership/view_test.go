package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
)

var startTime = time.Unix(1_000_000, 0)

// fleetOf returns the records of a fleet with two services in five data centres.
func fleetOf(size int) []link.Record {
	var out []link.Record
	for i := range size {
		out = append(out, link.Record{Version: 1, Member: link.Member{Name: fmt.Sprintf("n%d", i),
			Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255), DataCentre: fmt.Sprintf("d%d", i%5), Service: fmt.Sprintf("s%d", i%7/5)}})
	}
	return out
}

// linkRecorder executes the link commands of a view and counts them.
type linkRecorder struct {
	view   *View
	open   map[string]bool
	dials  int
	drops  int
	others []Command // Commands other than Dial and Drop.
}

func newLinkRecorder(self link.Record) *linkRecorder {
	return &linkRecorder{view: New(self, LinkCounts{Near: 24, Far: 24}), open: map[string]bool{}}
}

func (d *linkRecorder) update(m Message) {
	for _, c := range d.view.Update(m) {
		switch c := c.(type) {
		case Dial:
			d.open[c.Member.Address] = true
			d.dials++
		case Drop:
			delete(d.open, c.Address)
			d.drops++
		default:
			d.others = append(d.others, c)
		}
	}
}

// Guards against links that accumulate because each record is decided on as it arrives: however
// records arrive, the same 24 near and 24 far nodes of each of two services must be selected.
func TestLinksAreChosenFromAll(t *testing.T) {
	for _, size := range []int{300, 1_000, 4_000, 10_000} {
		fleet := fleetOf(size)
		single, paged := newLinkRecorder(fleet[0]), newLinkRecorder(fleet[0])
		for i, r := range fleet[1:] {
			single.update(Received{At: startTime, Records: []link.Record{r}})
			if i%100 == 0 {
				single.update(Ticked{At: startTime})
			}
		}
		paged.update(Received{At: startTime, Records: fleet[1:]})
		for _, d := range []*linkRecorder{single, paged} {
			d.update(Ticked{At: startTime})
			assert.LessOrEqual(t, len(d.open), 96, "size %d", size)
			assert.GreaterOrEqual(t, len(d.open), 80, "size %d", size)
			assert.Equal(t, size, d.view.Fleet())
		}
		assert.Equal(t, single.open, paged.open)
		assert.Equal(t, len(paged.open), paged.dials, "what is learned at once is dialed once")
	}
}

// A data centre is lost and returns: each gone node must be replaced by the next in order, and
// the previous selection restored afterwards.
func TestLinksFollowTheFleet(t *testing.T) {
	fleet := fleetOf(1_000)
	d := newLinkRecorder(fleet[0])
	d.update(Received{At: startTime, Records: fleet[1:]})
	d.update(Ticked{At: startTime})
	before := len(d.open)
	first := map[string]bool{}
	for address := range d.open {
		first[address] = true
	}
	for address := range first {
		if m, _ := d.view.Member(address); m.DataCentre == "d1" {
			d.update(Unreachable{At: startTime, Address: address})
		}
	}
	d.update(Ticked{At: startTime})
	assert.Len(t, d.open, before)
	assert.NotEqual(t, first, d.open)
	var back []link.Record
	for _, r := range fleet {
		if r.DataCentre == "d1" {
			r.Version = 2
			back = append(back, r)
		}
	}
	d.update(Received{At: startTime, Records: back})
	d.update(Ticked{At: startTime})
	assert.Equal(t, first, d.open)
	assert.Equal(t, 1_000, d.view.Fleet())
}

// A link that is needed in addition to the selection must stay while its node is known.
func TestNeededLinksStay(t *testing.T) {
	fleet := fleetOf(500)
	d := newLinkRecorder(fleet[0])
	d.update(Received{At: startTime, Records: fleet[1:]})
	d.update(Ticked{At: startTime})
	needed := ""
	for _, r := range fleet[1:] {
		if !d.open[r.Address] {
			needed = r.Address
			break
		}
	}
	d.update(Needed{At: startTime, Address: needed})
	require.True(t, d.open[needed])
	d.update(Received{At: startTime, Records: fleetOf(520)[500:]})
	d.update(Ticked{At: startTime})
	assert.True(t, d.open[needed])
	gone := link.Record{Member: fleet[1].Member, Version: 1, Gone: true}
	for _, r := range fleet {
		if r.Address == needed {
			gone.Member = r.Member
		}
	}
	d.update(Received{At: startTime, Records: []link.Record{gone}})
	d.update(Ticked{At: startTime})
	assert.False(t, d.open[needed])
}

// A node that others consider gone, because none of those that dialed it reached it, must be
// known again after it refutes that with a higher version.
func TestNodeRefutesThatItIsGone(t *testing.T) {
	fleet := fleetOf(3)
	self, other := newLinkRecorder(fleet[0]), newLinkRecorder(fleet[1])
	other.update(Received{At: startTime, Records: fleet})
	other.update(Unreachable{At: startTime, Address: fleet[0].Address})
	assert.Equal(t, 2, other.view.Fleet())
	updates := other.others[len(other.others)-1].(Updates)
	self.update(Received{At: startTime, Records: updates.Records})
	assert.Contains(t, self.others, Refute{})
	other.update(Received{At: startTime, Records: self.others[len(self.others)-1].(Updates).Records})
	assert.Equal(t, 3, other.view.Fleet())
	self.others = nil
	self.update(Received{At: startTime, Records: updates.Records})
	assert.Empty(t, self.others, "the outdated record has no effect any more")
}

// A late record of an earlier node at an address must change nothing, nor must the record of a
// gone node that is unknown here; a restart must not be passed on.
func TestStaleRecordsIgnored(t *testing.T) {
	fleet := fleetOf(2)
	d := newLinkRecorder(fleet[0])
	now := fleet[1]
	now.Version, now.Service = 5, "s1"
	d.update(Received{At: startTime, Records: []link.Record{now}})
	d.others = nil
	restarted := now
	restarted.Version = 6
	unknown := link.Record{Member: link.Member{Name: "x", Address: "10.9.9.9:1"}, Version: 9, Gone: true}
	d.update(Received{At: startTime, Records: []link.Record{fleet[1], unknown, restarted}})
	assert.Empty(t, d.others)
	m, ok := d.view.Member(now.Address)
	require.True(t, ok)
	assert.Equal(t, "s1", m.Service)
	_, ok = d.view.Member(unknown.Address)
	assert.False(t, ok)
}

// BenchmarkLearn measures the processor time to learn a fleet record by record. A scan of all
// records at each of them would make it quadratic in the size of the fleet.
func BenchmarkLearn(b *testing.B) {
	for _, size := range []int{1_000, 4_000} {
		fleet := fleetOf(size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				d := newLinkRecorder(fleet[0])
				for _, r := range fleet[1:] {
					d.update(Received{At: startTime, Records: []link.Record{r}})
				}
				d.update(Ticked{At: startTime})
			}
		})
	}
}

// BenchmarkForget measures the processor time to forget 100 dialed nodes. It would grow with the
// size of the fleet if each of them took a scan of all records.
func BenchmarkForget(b *testing.B) {
	for _, size := range []int{1_000, 4_000} {
		fleet := fleetOf(size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				d := newLinkRecorder(fleet[0])
				d.update(Received{At: startTime, Records: fleet[1:]})
				d.update(Ticked{At: startTime})
				b.StartTimer()
				for range 100 {
					for address := range d.open {
						d.update(Unreachable{At: startTime, Address: address})
						break
					}
					d.update(Ticked{At: startTime})
				}
			}
		})
	}
}

// A node that knows few of many must not take what it knows for the fleet: not before another node has told it all
// that it knows, or has shown that it knows the same.
func TestNodeThatKnowsFewIsNotInformed(t *testing.T) {
	fleet := fleetOf(20)
	at := startTime
	starter, other := New(fleet[0], LinkCounts{Near: 24, Far: 24}), New(fleet[1], LinkCounts{Near: 24, Far: 24})
	other.Update(Received{At: at, Records: fleet})
	starter.Update(Received{At: at, Records: fleet[1:4]})
	assert.False(t, starter.Informed())
	assert.False(t, other.Informed())
	answers := other.Update(Compared{At: at, Sums: starter.sums[:]})
	require.Len(t, answers, 2)
	starter.Update(Received{At: at, Records: answers[0].(Reply).Records})
	assert.False(t, starter.Informed(), "the answer has not come")
	starter.Update(Compared{At: at, Sums: answers[1].(Answer).Sums, Answer: true})
	assert.True(t, starter.Informed())
	assert.Equal(t, 20, starter.Fleet())
	assert.False(t, other.Informed(), "it was asked by one that knows less")
	other.Update(Compared{At: at, Sums: starter.sums[:]})
	assert.True(t, other.Informed(), "both know the same")
}

// A comparison that found no link must be made once there is one, not after a pause that grows meanwhile.
func TestFirstComparisonIsMissedWithoutLinks(t *testing.T) {
	v := New(fleetOf(1)[0], LinkCounts{Near: 24, Far: 24})
	compares := func(at time.Time) bool {
		return slices.ContainsFunc(v.Update(Ticked{At: at}), func(c Command) bool { _, ok := c.(Compare); return ok })
	}
	at := startTime
	for range 100 {
		assert.True(t, compares(at))
		v.Update(NotCompared{At: at})
		at = at.Add(50 * time.Millisecond)
	}
	assert.True(t, compares(at))
	assert.False(t, compares(at.Add(minComparePause-time.Millisecond)))
	assert.True(t, compares(at.Add(minComparePause)))
}
