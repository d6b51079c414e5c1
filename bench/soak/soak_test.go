package soak

import (
	"fmt"
	"os"
	"os/exec"
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

// TestLimits makes upstreams name limits in their answers, or that they leave, while nodes are
// stopped, killed, paused and cut off.
func TestLimits(t *testing.T) {
	runSeed(t, Options{Seed: 46, Nodes: 5, For: 14 * time.Second, Limits: true})
}

// TestPipelining sends batches of requests, some with Expect, and reads long answers slowly, while upstreams answer early
// and twice and nodes are stopped, killed, paused and cut off.
func TestPipelining(t *testing.T) {
	runSeed(t, Options{Seed: 33, Nodes: 5, For: 10 * time.Second, Pipelining: true})
}

// TestGarbling makes upstreams send what is no answer, or does not end, and cut answers to large uploads, while nodes are
// stopped, killed, paused and cut off: no node may pass such an answer on, or take more than its memory.
func TestGarbling(t *testing.T) {
	runSeed(t, Options{Seed: 76, Nodes: 5, For: 10 * time.Second, Garbling: true})
}

// previousCommit is the commit whose build TestUpgrade runs beside today's.
const previousCommit = "ee95dbe5"

// TestUpgrade replaces the nodes of an earlier build by today's, one after the other, while nodes of
// both are stopped, killed and cut off.
func TestUpgrade(t *testing.T) {
	if exec.Command("git", "cat-file", "-e", previousCommit).Run() != nil {
		t.Skipf("this clone lacks the history: commit %s can't be built", previousCommit)
	}
	previous, err := BuildCommit(t.TempDir(), previousCommit)
	require.NoError(t, err)
	runSeed(t, Options{Seed: 36, Nodes: 5, For: 12 * time.Second, Previous: previous, Limits: true})
}

// runSeed runs the soak and checks that it finds no violation. It keeps the nodes' logs on
// failure, since another run with the same seed may pass.
func runSeed(t *testing.T, o Options) {
	t.Helper()
	program, err := Build(t.TempDir())
	require.NoError(t, err)
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
