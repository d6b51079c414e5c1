package soak

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bench/standin"
)

// TestLeaving makes upstreams leave in any way and disturbs their nodes right after the acknowledgement.
func TestLeaving(t *testing.T) {
	runSeed(t, Options{Seed: 3, Nodes: 5, For: 12 * time.Second, Leaving: true})
}

// TestRestartedNodeForgetsLeaving guards against a node that is killed right after it acknowledged that its
// upstream leaves, can't read the store when it is back, and gets a late report of before.
func TestRestartedNodeForgetsLeaving(t *testing.T) {
	program, err := Build(t.TempDir())
	require.NoError(t, err)
	s, err := newSoak(Options{Program: program, Dir: t.TempDir(), Seed: 1, Nodes: 3})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer s.close()
	defer cancel()
	require.NoError(t, s.start(ctx))
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, n := range s.nodes {
		callers.Go(func() { s.runCaller(callerCtx, n, i) })
	}
	defer callers.Wait()
	defer stopCallers()
	time.Sleep(warmupTime)
	n := s.nodes[0]
	u := n.upstream
	u.mu.Lock()
	id, late := u.id, u.nextHeartbeat()
	u.mu.Unlock()
	u.beginLeaving(true, true)
	u.deregister(ctx)
	s.store.SetFaults(standin.MetadataFaults{Busy: true})
	n.restart(syscall.SIGKILL)
	require.Eventually(t, func() bool { return u.report(ctx, "instances.heartbeat", id, late) }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(2 * drainGrace)
	assert.Empty(t, s.checker.violations())
	assert.Positive(t, s.served.Load())
}
