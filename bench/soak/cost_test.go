package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eiderfold/bench/fleet"
)

// costCallers is the number of concurrent callers, each with a persistent connection.
const costCallers = 4

// BenchmarkNode measures the CPU time of a node's process for each request that it serves
// through its own gate.
func BenchmarkNode(b *testing.B) {
	dir := b.TempDir()
	program, err := Build(dir)
	require.NoError(b, err)
	s, err := newSoak(Options{Program: program, Dir: dir, Seed: 1, Nodes: 1})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	defer s.close()
	defer cancel()
	require.NoError(b, s.start(ctx))
	n := s.nodes[0]
	require.Eventually(b, func() bool { return get(http.DefaultClient, n.callers, "warm") == http.StatusOK }, 10*time.Second, 20*time.Millisecond)
	measureCPU(b, n.process.PID(), n.callers)
}

// BenchmarkPassthrough measures the same for a minimal net/http proxy.
func BenchmarkPassthrough(b *testing.B) {
	dir := b.TempDir()
	program, err := buildProgram(dir, "", "eiderfold/bench/cmd/passthrough")
	require.NoError(b, err)
	u, err := startUpstream(b.Context(), "127.0.0.1:0", "127.0.0.1:1", newChecker(true), func() time.Duration { return 0 })
	require.NoError(b, err)
	p, address, err := fleet.StartStandin(b.Context(), "passthrough", dir, program, u.address)
	require.NoError(b, err)
	defer p.Kill()
	u.id = "" // The passthrough sends no Expect-Instance header.
	measureCPU(b, p.PID(), address)
}

func measureCPU(b *testing.B, pid int, address string) {
	b.Helper()
	before, _ := fleet.Usage(pid)
	b.ResetTimer()
	var callers sync.WaitGroup
	for c := range costCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := c; i < b.N; i += costCallers {
				get(client, address, fmt.Sprintf("b%d-%d", c, i))
			}
		})
	}
	callers.Wait()
	after, _ := fleet.Usage(pid)
	b.ReportMetric((after-before)*1e6/float64(b.N), "cpu-us/op")
}

func get(client *http.Client, address, attempt string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/look/"+attempt, nil)
	if err != nil {
		return 0
	}
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close() //nolint:errcheck // The body is only read.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
