package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSeed1 runs a short soak of a fixed seed, which once found a process that a
// signal at its start had ended.
func TestSeed1(t *testing.T) { playSeed(t, Options{Seed: 1, Nodes: 4, For: 12 * time.Second}) }

// TestSeed58 found an order in doubt when its ingress's grace time was over.
func TestSeed58(t *testing.T) { playSeed(t, Options{Seed: 58, Nodes: 5, For: 8 * time.Second}) }

// TestAccounts lets callers show keys, one account be far over its limit, and keys be
// passed on and taken away.
func TestAccounts(t *testing.T) {
	playSeed(t, Options{Seed: 7, Nodes: 4, For: 8 * time.Second, Accounts: true})
}

// TestEnding lets two requests come again and again under which upstreams end, while nodes
// are killed, all of them too, and cut off.
func TestEnding(t *testing.T) {
	playSeed(t, Options{Seed: 11, Nodes: 5, For: 10 * time.Second, Ending: true})
}

// TestSeed120 found an upstream that had ended, started again under its id and said first
// that it leaves: its gate was open still for the earlier start, and it got work 2.5 s on.
func TestSeed120(t *testing.T) {
	playSeed(t, Options{Seed: 120, Nodes: 5, For: 8 * time.Second, Ending: true})
}

// TestOperator lets data centres be evacuated and the store be restored from a copy while
// nodes are stopped, killed and cut off, and orders with large bodies come slowly.
func TestOperator(t *testing.T) {
	playSeed(t, Options{Seed: 21, Nodes: 6, For: 12 * time.Second, Uploads: true, Operator: true})
}

// playSeed plays a seed. The nodes' logs stay when it breaks a promise, since
// another play may not.
func playSeed(t *testing.T, o Options) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "eiderfold")
	output, err := exec.Command("go", "build", "-o", program, "eiderfold/cmd/eiderfold").CombinedOutput()
	require.NoError(t, err, string(output))
	logs, err := os.MkdirTemp("", fmt.Sprintf("eiderfold-seed%d-", o.Seed))
	require.NoError(t, err)
	o.Program, o.Dir = program, logs
	report, err := Run(t.Context(), o)
	require.NoError(t, err)
	assert.Empty(t, report.Violations, "logs: %s, faults: %v", logs, report.Faults)
	assert.Positive(t, report.Served)
	if !t.Failed() {
		require.NoError(t, os.RemoveAll(logs))
	}
}
