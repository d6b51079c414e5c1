package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const nodeOneLog = `{"level":"info","ts":"2026-01-02T03:04:05.300Z","process_name":"one","msg":"request failed","attempt":"x1","status":502,"doubt":"reset"}
{"level":"info","ts":"2026-01-02T03:04:05.100Z","process_name":"one","msg":"request failed","attempt":"x2","status":503}
no json
`

const nodeTwoLog = `  12.5 two {"level":"info","ts":"2026-01-02T03:04:05.200Z","process_name":"two","msg":"attempt without a good answer","attempt":"x1","outcome":"broken"}
`

// TestExplain checks that the lines of two nodes about a request are printed in order
// of time.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	require.NoError(t, os.WriteFile(one, []byte(nodeOneLog), 0o600))
	require.NoError(t, os.WriteFile(two, []byte(nodeTwoLog), 0o600))
	want := "2026-01-02T03:04:05.200Z two: attempt without a good answer attempt=x1 outcome=broken\n" +
		"2026-01-02T03:04:05.300Z one: request failed attempt=x1 doubt=reset status=502\n"
	for name, c := range map[string]struct {
		args []string
		in   string
	}{
		"files":          {[]string{"x1", one, two}, ""},
		"standard input": {[]string{"x1"}, nodeOneLog + nodeTwoLog},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			command := explainCommand()
			command.SetArgs(c.args)
			command.SetIn(strings.NewReader(c.in))
			command.SetOut(&out)
			require.NoError(t, command.Execute())
			assert.Equal(t, want, out.String())
		})
	}
	command := explainCommand()
	command.SilenceUsage = true
	command.SilenceErrors = true
	command.SetArgs([]string{"x9", one})
	assert.ErrorContains(t, command.Execute(), "no line about x9")
}
