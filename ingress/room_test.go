package ingress

import (
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"eiderfold/link"
	"eiderfold/platform"
)

// roomStep is a report, an offer or a response, and the room that is known after it.
type roomStep struct {
	Report  *link.Room    `yaml:"report"`
	Offer   bool          `yaml:"offer"`
	Respond bool          `yaml:"respond"`
	Forget  bool          `yaml:"forget"`
	After   time.Duration `yaml:"after"`
	Want    *link.Room    `yaml:"want"` // nil for unknown.
}

// TestReportedRoom guards against offers by a report that is out of date or already used up, by the script
// of testdata/room.yaml.
func TestReportedRoom(t *testing.T) {
	text, err := os.ReadFile("testdata/room.yaml")
	require.NoError(t, err)
	var steps []roomStep
	require.NoError(t, yaml.UnmarshalWithOptions(text, &steps, yaml.Strict()))
	var r reportedRoom
	now := time.Unix(1000, 0)
	for i, s := range steps {
		now = now.Add(s.After)
		switch {
		case s.Report != nil:
			r.note(*s.Report, false, now)
		case s.Offer:
			r.offered()
		case s.Respond:
			r.responded()
		case s.Forget:
			r.forget()
		}
		room, known := r.at(now, 50*time.Millisecond)
		if s.Want == nil {
			assert.False(t, known, "step %d", i+1)
			continue
		}
		assert.True(t, known, "step %d", i+1)
		assert.Equal(t, *s.Want, room, "step %d", i+1)
	}
}

// countNames counts by name.
type countNames map[string]int

func (c countNames) Count(name string)           { c[name]++ }
func (countNames) Observe(string, time.Duration) {}

// TestInvalidRoomIsIgnored guards against a selection by an absurd room, and against a log line for each
// one: it must be counted, and logged once in a minute.
func TestInvalidRoomIsIgnored(t *testing.T) {
	endpoints, all := gates("O")
	counts := countNames{}
	core, logs := observer.New(zapcore.WarnLevel)
	f := NewForwarder("caller", endpoints, platform.Headers{}, zap.New(core), counts)
	now := time.Unix(1000, 0)
	for _, room := range []link.Room{{Free: -1}, {Free: 1 << 30}, {Wait: -time.Second}, {Wait: 48 * time.Hour}} {
		f.ReceiveStatus(all[0], link.Status{Mode: link.ModeOpen, Room: &room}, now)
		_, known := all[0].room(now)
		assert.False(t, known, "%+v", room)
	}
	assert.Equal(t, 4, counts["room_invalid"])
	assert.Equal(t, 1, logs.Len())
	f.ReceiveStatus(all[0], link.Status{Mode: link.ModeOpen, Room: &link.Room{Free: 3}}, now)
	room, known := all[0].room(now)
	assert.True(t, known)
	assert.Equal(t, 3, room.Free)
	f.ReceiveStatus(all[0], link.Status{Mode: link.ModeTrial}, now)
	_, known = all[0].room(now)
	assert.False(t, known, "on trial")
}

// TestRefusalContradictsFreeSlots guards against preferring a gate again and again that states free
// slots and refuses for lack of room.
func TestRefusalContradictsFreeSlots(t *testing.T) {
	for reason, contradicted := range map[link.Reason]bool{link.ReasonBusy: true, link.ReasonShed: true, link.ReasonTrial: true, link.ReasonBudget: false, link.ReasonNested: false} {
		_, got := roomOf(&link.Frame{Refused: &link.Refused{Reason: reason, Room: &link.Room{Free: 2}}})
		assert.Equal(t, contradicted, got, reason)
	}
	room, contradicted := roomOf(&link.Frame{Refused: &link.Refused{Reason: link.ReasonBusy, Room: &link.Room{Wait: time.Second}}})
	assert.False(t, contradicted)
	assert.Equal(t, time.Second, room.Wait)
}
