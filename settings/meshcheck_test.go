package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/switches"
)

const validMesh = `node: n1
data_centre: d1
upstream: {address: "10.0.0.1:80", service: s}
listen: {callers: "10.0.0.1:81", links: "10.0.0.1:82", reports: "10.0.0.1:83", ready: "10.0.0.1:84"}
store: "10.0.0.9:85"
`

func TestMeshStandardValues(t *testing.T) {
	m, err := ParseMesh("node.yaml", []byte(validMesh))
	require.NoError(t, err)
	ratio, slack := m.Retries()
	assert.Equal(t, []float64{0.2, 20, 0.7}, []float64{ratio, slack, m.FloorShare()})
	assert.Equal(t, 6*time.Second, m.Grace())
	assert.Equal(t, "info", m.LogLevel())
	assert.Equal(t, m.Links(), m.Advertised())
}

// TestMeshFaults compares the whole error text, which must name the field of each
// fault.
func TestMeshFaults(t *testing.T) {
	_, err := ParseMesh("node.yaml", []byte(`data_centre: d1
upstream: {address: "10.0.0.1", service: s}
listen: {callers: "10.0.0.1:81", links: "10.0.0.1:82", advertise: a, reports: "10.0.0.1:83", ready: "10.0.0.1:84"}
store: "10.0.0.9:85"
fleet: {floor_share: 1.5, acknowledge: -1s}
retries: {ratio: -1}
account_limits: {window: -5s, over: -0.1}
stop: {grace: 500ms}
log: {level: loud, format: console}
off: [hedges, luck]
regions: {a: ""}
memory_mb: -1
`))
	assert.EqualError(t, err, `node.yaml: account_limits: window -5s, over -0.1 and slack 0 must not be under 0
node.yaml: fleet.acknowledge: -1s is under 0
node.yaml: fleet.floor_share: 1.5 is not between 0 and 1
node.yaml: listen.advertise: "a" is no IP:port
node.yaml: log.format: "console": a mesh node logs json
node.yaml: log.level: "loud" is none of debug, info, warn, error
node.yaml: memory_mb: -1 is under 0
node.yaml: node: is missing
node.yaml: off: unknown mechanism luck; known are silence, hold, warnings, own-calls, kind-times, trials, forced, hedges, near, slow-last, priority, late-last, call-terms, target-steps, doubt, nested-room, fair-shares, room, urgent-repeats
node.yaml: regions: "a": "" names no data centre or no region
node.yaml: retries: ratio -1 and slack 20 must not be under 0
node.yaml: stop.grace: 500ms is under 1s
node.yaml: upstream.address: "10.0.0.1" is no IP:port`)
}

// TestMeshSwitches checks that a mechanism listed in off is disabled and that the
// others stay enabled.
func TestMeshSwitches(t *testing.T) {
	m, err := ParseMesh("node.yaml", []byte(validMesh+"off: [hedges]\n"))
	require.NoError(t, err)
	assert.False(t, m.Switches().On(switches.Hedges))
	assert.True(t, m.Switches().On(switches.HangDetection))
}
