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

// TestSeed1 runs a short soak with a fixed seed. It guards against a node that is
// terminated by a signal during startup.
func TestSeed1(t *testing.T) { runSeed(t, Options{Seed: 1, Nodes: 4, For: 12 * time.Second}) }

// TestSeed58 guards against an order that is still unconfirmed when the grace time of its
// ingress ends.
func TestSeed58(t *testing.T) { runSeed(t, Options{Seed: 58, Nodes: 5, For: 8 * time.Second}) }

// TestAccounts sends keys of client accounts, one of which exceeds its limit by far, while
// configurations move keys between accounts and revoke them.
func TestAccounts(t *testing.T) {
	runSeed(t, Options{Seed: 7, Nodes: 4, For: 8 * time.Second, Accounts: true})
}

// TestEnding repeats two requests that crash upstreams while nodes are cut off and killed,
// at times all of them at once.
func TestEnding(t *testing.T) {
	runSeed(t, Options{Seed: 11, Nodes: 5, For: 10 * time.Second, Ending: true})
}

// TestSeed120 guards against a gate that stays open for a crashed upstream's previous
// incarnation when the new one, with the same id, reports first that it is draining.
func TestSeed120(t *testing.T) {
	runSeed(t, Options{Seed: 120, Nodes: 5, For: 8 * time.Second, Ending: true})
}

// TestOperator evacuates data centres and restores the store from a copy while nodes are
// stopped, killed and cut off and large order bodies arrive slowly.
func TestOperator(t *testing.T) {
	runSeed(t, Options{Seed: 21, Nodes: 6, For: 12 * time.Second, Uploads: true, Operator: true})
}

// runSeed runs the soak and checks that it finds no violation. It keeps the nodes' logs on
// failure, since another run with the same seed may pass.
func runSeed(t *testing.T, o Options) {
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
