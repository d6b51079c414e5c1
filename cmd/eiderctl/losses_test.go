package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLosses attributes one request to each cause, whichever node's line comes first; in
// accounts.log, what was refused for its account, and what is no loss; in held.log, what was
// held because upstreams end under it.
func TestLosses(t *testing.T) {
	for _, name := range []string{"losses", "accounts", "held"} {
		var out bytes.Buffer
		command := lossesCommand()
		command.SetArgs([]string{"testdata/" + name + ".log"})
		command.SetOut(&out)
		require.NoError(t, command.Execute())
		want, err := os.ReadFile("testdata/" + name + ".txt")
		require.NoError(t, err)
		assert.Equal(t, string(want), out.String())
	}
}

// TestLossesOfNoFile names the file that cannot be read.
func TestLossesOfNoFile(t *testing.T) {
	command := lossesCommand()
	command.SilenceUsage = true
	command.SilenceErrors = true
	command.SetArgs([]string{"testdata/none.log"})
	assert.ErrorContains(t, command.Execute(), "none.log")
}
