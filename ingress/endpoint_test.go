package ingress

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/switches"
)

type nopSink struct{}

func (nopSink) Send(*link.Frame) bool { return true }
func (nopSink) LastPong() time.Time   { return time.Time{} }

// gates returns reachable endpoints of one service, one per letter: o for open, t for on
// trial, c for closed, in the own data centre if it is a capital.
func gates(states string) (*Endpoints, []*Endpoint) {
	endpoints := NewEndpoints("near", 0.7)
	var all []*Endpoint
	for _, s := range states {
		dataCentre, mode := "far", link.ModeOpen
		switch s {
		case 'O', 'T', 'C':
			dataCentre = "near"
		}
		switch s {
		case 'T', 't':
			mode = link.ModeTrial
		case 'C', 'c':
			mode = link.ModeClosed
		}
		n := NewEndpoint(link.Member{Service: "a", DataCentre: dataCentre})
		n.SetStatus(link.Status{Mode: mode, Slots: 4, MeanResponseTime: 100 * time.Millisecond}, time.Unix(1000, 0))
		n.link.Store(&gateLink{sink: nopSink{}})
		endpoints.Add(n)
		all = append(all, n)
	}
	return endpoints, all
}

// chosen counts by index how often each gate is selected; the last count is that of no
// gate.
func chosen(endpoints *Endpoints, all []*Endpoint, crit criteria) []int {
	now := time.Unix(1000, 0)
	counts := make([]int, len(all)+1)
	crit.service = "a"
	for range 4000 {
		c := endpoints.choose(crit, now)
		at := len(all)
		for i, n := range all {
			if n == c.endpoint {
				at = i
			}
		}
		counts[at]++
	}
	return counts
}

func TestSelectionStaysInTheDataCentre(t *testing.T) {
	endpoints, all := gates("OOoo")
	counts := chosen(endpoints, all, criteria{})
	assert.Less(t, counts[2]+counts[3], 100)
	counts = chosen(endpoints, all, criteria{tried: all[:2]})
	assert.Greater(t, counts[2]+counts[3], 3900, "any gate if the near ones were asked already")
	counts = chosen(endpoints, all, criteria{tried: all[:2], nearOnly: true})
	assert.Equal(t, 4000, counts[4], "no gate of another data centre with nearOnly")
}

func TestOnlyRetryableOnTrial(t *testing.T) {
	endpoints, all := gates("OOOT")
	assert.Zero(t, chosen(endpoints, all, criteria{})[3])
	tried := chosen(endpoints, all, criteria{retryable: true, allowTrials: true})[3]
	assert.Zero(t, chosen(endpoints, all, criteria{retryable: true})[3], "without budget")
	assert.InDelta(t, 4000*trialShare, tried, 150)
}

// TestFloor checks that gates on trial are forced to accept work when too few are open.
func TestFloor(t *testing.T) {
	endpoints, all := gates("TTTT")
	c := endpoints.choose(criteria{service: "a"}, time.Unix(1000, 0))
	assert.NotNil(t, c.endpoint)
	assert.True(t, c.force)
	_ = all
}

func TestSlowGateIsLastResort(t *testing.T) {
	endpoints, all := gates("OOO")
	all[0].SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4, MeanResponseTime: time.Second}, time.Unix(1000, 0))
	counts := chosen(endpoints, all, criteria{})
	assert.Less(t, counts[0], 100)
	assert.Positive(t, counts[0], "it is explored now and then")
	counts = chosen(endpoints, all, criteria{tried: all[1:]})
	assert.Equal(t, 4000, counts[0])
}

// TestGateWithRoomIsPreferred guards against offers to a full gate beside one with room, and against
// another selection than without any room where both or neither have some, one is unknown, or the mechanism is
// off.
func TestGateWithRoomIsPreferred(t *testing.T) {
	free, full := &link.Room{Free: 1}, &link.Room{Wait: time.Second}
	off, err := switches.Off(string(switches.Room))
	require.NoError(t, err)
	for _, c := range []struct {
		rooms []*link.Room
		off   bool
		share float64 // Of the selections that take the first gate, which has the higher cost.
	}{
		{[]*link.Room{free, full}, false, 0.75}, {[]*link.Room{full, free}, false, 0.25},
		{[]*link.Room{free, free}, false, 0.25}, {[]*link.Room{full, full}, false, 0.25},
		{[]*link.Room{free, nil}, false, 0.25}, {[]*link.Room{nil, full}, false, 0.25},
		{[]*link.Room{free, full}, true, 0.25},
	} {
		endpoints, all := gates("OO")
		if c.off {
			endpoints.SetSwitches(off)
		}
		all[0].SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4, MeanResponseTime: 150 * time.Millisecond}, time.Unix(1000, 0))
		for i, room := range c.rooms {
			all[i].noteRoom(room, false, time.Unix(1000, 0))
		}
		assert.InDelta(t, 4000*c.share, chosen(endpoints, all, criteria{})[0], 150, "%+v", c)
	}
}

func TestSuspectedGateIsAvoided(t *testing.T) {
	endpoints, all := gates("OO")
	now := time.Unix(1000, 0)
	all[0].suspect(now)
	assert.Zero(t, chosen(endpoints, all, criteria{})[0])
	assert.Equal(t, all[0], endpoints.choose(criteria{service: "a", tried: all[1:]}, now).endpoint, "unless there is no other")
}

func TestClosedOrUnreachableIsNeverChosen(t *testing.T) {
	endpoints, all := gates("CO")
	all[1].link.Store(nil)
	assert.Equal(t, 4000, chosen(endpoints, all, criteria{retryable: true})[2])
}

// TestOldResponseTimeExpires guards against never selecting a gate again that was slow at
// its last answer, so that its recovery goes unnoticed.
func TestOldResponseTimeExpires(t *testing.T) {
	endpoints, all := gates("OOO")
	now := time.Unix(1000, 0)
	all[0].SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4, MeanResponseTime: time.Second}, now.Add(-responseTimeTTL))
	counts := chosen(endpoints, all, criteria{})
	assert.InDelta(t, 4000/3, counts[0], 300)
}

// TestUnknownResponseTimeIsNoAdvantage guards against preferring a gate that has not
// reported a response time.
func TestUnknownResponseTimeIsNoAdvantage(t *testing.T) {
	endpoints, all := gates("OOO")
	all[0].responseTime.mean.Store(0)
	all[0].responseTime.until.Store(0)
	counts := chosen(endpoints, all, criteria{})
	assert.InDelta(t, 4000/3, counts[0], 300)
}

// Choosing a gate must not fail while an answer changes the mean response time of the only open one.
func TestChoosePanicsWhileResponseTimeChanges(t *testing.T) {
	endpoints, all := gates("O")
	now := time.Unix(1000, 0)
	ctx, stop := context.WithCancel(t.Context())
	var answers sync.WaitGroup
	answers.Go(func() {
		for ctx.Err() == nil {
			all[0].responseTime.note(time.Millisecond, now)
			all[0].responseTime.note(100*time.Millisecond, now)
		}
	})
	defer answers.Wait()
	defer stop()
	for range 200_000 {
		require.Equal(t, all[0], endpoints.choose(criteria{service: "a"}, now).endpoint)
	}
}
