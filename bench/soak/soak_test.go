package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSeeds runs a short soak of a fixed seed, and of every seed that ever failed.
func TestSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "eiderfold")
	output, err := exec.Command("go", "build", "-o", program, "eiderfold/cmd/eiderfold").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, seed := range []uint64{1, 58} {
		report, err := Run(t.Context(), Options{Program: program, Dir: t.TempDir(), Seed: seed, For: 12 * time.Second, Nodes: 4})
		require.NoError(t, err)
		assert.Empty(t, report.Violations, "faults: %v", report.Faults)
		assert.Positive(t, report.Served)
	}
}
