package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validSettings = `node: node-1
data_centre: sede-central
templates: [montevideo]
listen: {callers: "10.0.0.1:8080", admin: "10.0.0.1:8081", peers: "10.0.0.1:7400"}
platform: {address: "http://10.0.9.1:8500"}
keys: {certificate: a, key: b, authority: c}
`

func load(t *testing.T, text string, environment, flags map[string]string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path, func(name string) (string, bool) { v, ok := environment[name]; return v, ok }, flags)
}

func TestOverrides(t *testing.T) {
	s, err := load(t, validSettings, map[string]string{"EIDERFOLD_NODE": "from-environment", "EIDERFOLD_DATA_CENTRE": "cordon"}, map[string]string{"node": "from-flag"})
	require.NoError(t, err)
	assert.Equal(t, "from-flag", s.Node())
	assert.Equal(t, "cordon", s.DataCentre())
	assert.Equal(t, defaultHeader, s.Header())
}

// TestAllFaultsAtOnce checks that one error lists every fault of the settings.
func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("node-1", "Node 1", `peers: "10.0.0.1:7400"`, `peers: "node-1:7400"`, "http://10.0.9.1:8500", "somewhere").Replace(validSettings)
	text += "teams: [{name: registry, token: short}]\nlog: {level: loud}\n"
	_, err := load(t, text, nil, nil)
	require.Error(t, err)
	for _, part := range []string{"node: ", `listen.peers: "node-1:7400" is no IP:port`, "platform.address: ", "teams[0].token: is under 16", `log.level: "loud"`} {
		assert.ErrorContains(t, err, part)
	}
	_, err = load(t, validSettings+"nodes: 3\n", nil, nil)
	assert.ErrorContains(t, err, "nodes")
}
