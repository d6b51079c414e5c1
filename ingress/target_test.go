package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/link"
)

type deadSink struct{}

func (deadSink) Send(*link.Frame) bool { return true }
func (deadSink) Ponged() time.Time     { return time.Time{} }

// gates makes reachable targets of one service: a letter each for its mode, open,
// trial or closed, in the own data centre if it is a capital.
func gates(states string) (*Targets, []*Target) {
	targets := NewTargets("near", 0.7)
	var all []*Target
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
		n := NewTarget(link.Member{Service: "a", DataCentre: dataCentre})
		n.SetStatus(link.Status{Mode: mode, Slots: 4, Usual: 100 * time.Millisecond}, time.Unix(1000, 0))
		n.way.Store(&way{sink: deadSink{}})
		targets.Add(n)
		all = append(all, n)
	}
	return targets, all
}

// chosen counts by index who is chosen in many tries.
func chosen(targets *Targets, all []*Target, w want) []int {
	now := time.Unix(1000, 0)
	counts := make([]int, len(all)+1)
	w.service = "a"
	for range 4000 {
		c := targets.choose(w, now)
		at := len(all)
		for i, n := range all {
			if n == c.target {
				at = i
			}
		}
		counts[at]++
	}
	return counts
}

func TestChoiceStaysInTheDataCentre(t *testing.T) {
	targets, all := gates("OOoo")
	counts := chosen(targets, all, want{})
	assert.Less(t, counts[2]+counts[3], 100)
	counts = chosen(targets, all, want{tried: all[:2]})
	assert.Greater(t, counts[2]+counts[3], 3900, "anywhere, when the near ones are full")
	counts = chosen(targets, all, want{tried: all[:2], nearOnly: true})
	assert.Equal(t, 4000, counts[4], "but not while a queue there is short")
}

func TestOnlyRetryableOnTrial(t *testing.T) {
	targets, all := gates("OOOT")
	assert.Zero(t, chosen(targets, all, want{})[3])
	tried := chosen(targets, all, want{retryable: true, trials: true})[3]
	assert.Zero(t, chosen(targets, all, want{retryable: true})[3], "without budget")
	assert.InDelta(t, 4000*trialShare, tried, 150)
}

// TestFloor forces gates on trial when too few are open.
func TestFloor(t *testing.T) {
	targets, all := gates("TTTT")
	c := targets.choose(want{service: "a"}, time.Unix(1000, 0))
	assert.NotNil(t, c.target)
	assert.True(t, c.force)
	_ = all
}

func TestSlowGateIsLastResort(t *testing.T) {
	targets, all := gates("OOO")
	all[0].SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4, Usual: time.Second}, time.Unix(1000, 0))
	counts := chosen(targets, all, want{})
	assert.Less(t, counts[0], 100)
	assert.Positive(t, counts[0], "now and then it is looked at")
	counts = chosen(targets, all, want{tried: all[1:]})
	assert.Equal(t, 4000, counts[0])
}

func TestSilentGateIsAvoided(t *testing.T) {
	targets, all := gates("OO")
	now := time.Unix(1000, 0)
	all[0].suspect(now)
	assert.Zero(t, chosen(targets, all, want{})[0])
	assert.Equal(t, all[0], targets.choose(want{service: "a", tried: all[1:]}, now).target, "but for want of another")
}

func TestClosedOrUnreachableIsNeverChosen(t *testing.T) {
	targets, all := gates("CO")
	all[1].way.Store(nil)
	assert.Equal(t, 4000, chosen(targets, all, want{retryable: true})[2])
}

// TestOldPaceIsForgotten lets a gate be slow by its last word, without work since: after
// a while it is chosen as others are, or it would never show that it has recovered.
func TestOldPaceIsForgotten(t *testing.T) {
	targets, all := gates("OOO")
	now := time.Unix(1000, 0)
	all[0].SetStatus(link.Status{Mode: link.ModeOpen, Slots: 4, Usual: time.Second}, now.Add(-paceTrust))
	counts := chosen(targets, all, want{})
	assert.InDelta(t, 4000/3, counts[0], 300)
}

// TestUnknownPaceIsNoAdvantage compares a gate that has never told its answer times
// with others that have.
func TestUnknownPaceIsNoAdvantage(t *testing.T) {
	targets, all := gates("OOO")
	all[0].pace.mean.Store(0)
	all[0].pace.until.Store(0)
	counts := chosen(targets, all, want{})
	assert.InDelta(t, 4000/3, counts[0], 300)
}
