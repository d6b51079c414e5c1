package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"eiderfold/platform"
	"eiderfold/port"
)

// loadCounts counts by name.
type loadCounts map[string]int

func (c loadCounts) Count(name string)           { c[name]++ }
func (loadCounts) Observe(string, time.Duration) {}

// TestMalformedLoadIsLoggedRarely guards against a log line for each response of an upstream whose
// reported load cannot be read.
func TestMalformedLoadIsLoggedRarely(t *testing.T) {
	counts := loadCounts{}
	core, logs := observer.New(zapcore.WarnLevel)
	g := New(Upstream{Service: scriptService}, platform.Headers{}, zap.New(core), WithCounters(counts))
	now := time.Unix(1_000_000, 0)
	for i := range 100 {
		said := statement{Statement: port.Statement{Load: port.Load{Malformed: true}}, at: now.Add(time.Duration(i) * time.Second)}
		g.noteStatement(port.Incarnation{ID: "i-1"}, &answer{said: said}, nil)
	}
	assert.Equal(t, 100, counts["upstream_load_malformed"])
	assert.Equal(t, 2, logs.Len())
}
