package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLosses checks the causes in losses.log, in any order of the nodes' lines; in
// accounts.log, those of account limits, and client errors that are no losses; in
// held.log, that of a quarantined request.
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

// TestLossesOfMissingFile checks that the error names the file.
func TestLossesOfMissingFile(t *testing.T) {
	command := lossesCommand()
	command.SilenceUsage = true
	command.SilenceErrors = true
	command.SetArgs([]string{"testdata/none.log"})
	assert.ErrorContains(t, command.Execute(), "none.log")
}
