package soak

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFreeAddressesDiffer guards against duplicate addresses: a node with the same port for
// two of its listeners never starts, and neither does one whose address another run uses.
func TestFreeAddressesDiffer(t *testing.T) {
	const (
		runs  = 25
		nodes = 5
	)
	seen := map[string]bool{}
	for range runs {
		b, err := reserveBlock(58)
		require.NoError(t, err)
		defer b.Close() //nolint:errcheck // Nothing was accepted on it.
		for i := range nodes {
			for _, a := range listenAddresses(b.host(i)) {
				seen[a] = true
			}
		}
	}
	assert.Len(t, seen, runs*nodes*listenersPerNode)
}

// TestStoppedNodesPortsStayFree guards against a node that can't start again, because an outgoing
// connection from its address got one of its ports while it was stopped.
func TestStoppedNodesPortsStayFree(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	first, err := strconv.Atoi(strings.Fields(string(text))[0])
	require.NoError(t, err)
	for _, a := range listenAddresses("127.0.0.1") {
		_, port, err := net.SplitHostPort(a)
		require.NoError(t, err)
		n, err := strconv.Atoi(port)
		require.NoError(t, err)
		assert.Less(t, n, first)
	}
}

// TestRunsInOneProcess guards against a run that leaves its listeners open: the next one with its
// seed gets the same addresses and cannot start.
func TestRunsInOneProcess(t *testing.T) {
	program, err := Build(t.TempDir())
	require.NoError(t, err)
	blocks := map[string]bool{}
	for range 2 {
		s, err := newSoak(Options{Program: program, Dir: t.TempDir(), Seed: 5800, Nodes: 2})
		require.NoError(t, err)
		blocks[s.block.prefix] = true
		ctx, cancel := context.WithCancel(t.Context())
		assert.NoError(t, s.start(ctx))
		cancel()
		s.close()
	}
	assert.Len(t, blocks, 1, "the block is free again")
}
