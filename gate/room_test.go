package gate

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/port"
	"eiderfold/switches"
)

// roomStep is a message to an admission, and the room that it states after it.
type roomStep struct {
	Do   step       `yaml:"do"`
	Load *port.Load `yaml:"load"` // What an answer says of the upstream's load; no other message then.
	Room *link.Room `yaml:"room"` // nil for none.
}

// TestRoomScripts guards against stating room that a gate does not have, by the scripts of
// testdata/rooms. With the mechanism off, no room is stated.
func TestRoomScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/rooms/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	off, err := switches.Off(string(switches.Room))
	require.NoError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		var steps []roomStep
		require.NoError(t, yaml.UnmarshalWithOptions(text, &steps, yaml.Strict()))
		now := time.Unix(1_000_000, 0)
		a := NewAdmission(scriptService, budget.New(1, 400, time.Time{}))
		without := NewAdmission(scriptService, budget.New(1, 400, time.Time{}))
		without.SetSwitches(off)
		for i, s := range steps {
			now = now.Add(s.Do.After)
			m := s.Do.message(t, now)
			if s.Load != nil {
				m = Stated{At: now, HeardAt: now, Upstream: a.upstream, Statement: port.Statement{Load: *s.Load}}
			}
			a.Update(m)
			without.Update(m)
			assert.Equal(t, s.Room, a.Room(now), "%s, step %d", file, i+1)
			assert.Nil(t, without.Room(now), "%s, step %d", file, i+1)
		}
	}
}

// TestRoomCostsLittle guards against messages that grow by more than a few bytes, and against an
// allocation for each message that states the same room.
func TestRoomCostsLittle(t *testing.T) {
	a := NewAdmission(scriptService, budget.New(1, 400, time.Time{}))
	now := time.Unix(1_000_000, 0)
	a.Update(Reported{At: now, Report: port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: scriptService, Slots: 8}})
	a.Update(Confirmed{At: now, Upstream: port.Incarnation{ID: "i-1"}})
	assert.Zero(t, testing.AllocsPerRun(100, func() { a.Room(now) }))
	without, err := cbor.Marshal(link.Granted{Key: key(1)})
	require.NoError(t, err)
	for _, room := range []*link.Room{a.Room(now), {Wait: 375 * time.Millisecond}} {
		with, err := cbor.Marshal(link.Granted{Key: key(1), Room: room})
		require.NoError(t, err)
		assert.LessOrEqual(t, len(with)-len(without), 8)
	}
}
