package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eiderfold/bench/fleet"
	"eiderfold/bench/standin"
)

// costCallers send requests at a time, over connections that they keep.
const costCallers = 4

// BenchmarkNode measures the processor time that a request costs in a node's
// process, through the gate beside it.
func BenchmarkNode(b *testing.B) {
	dir := b.TempDir()
	program := build(b, dir, "eiderfold/cmd/eiderfold")
	s := &soak{options: Options{Program: program, Dir: dir, Seed: 1, Nodes: 1}, store: standin.NewMetadata(), cutter: standin.NewCutter(), ledger: newLedger()}
	require.NoError(b, s.start(b.Context()))
	defer s.end()
	n := s.nodes[0]
	require.Eventually(b, func() bool { return ask(http.DefaultClient, n.callers, "warm") == http.StatusOK }, 10*time.Second, 20*time.Millisecond)
	cost(b, n.process.PID(), n.callers)
}

// BenchmarkPassthrough is the same for the smallest proxy that net/http allows.
func BenchmarkPassthrough(b *testing.B) {
	dir := b.TempDir()
	program := build(b, dir, "eiderfold/bench/cmd/passthrough")
	u, err := startUpstream(b.Context(), "127.0.0.1", "127.0.0.1:1", newLedger())
	require.NoError(b, err)
	p, address, err := fleet.StartStandin(b.Context(), "passthrough", dir, program, u.address)
	require.NoError(b, err)
	defer p.Kill()
	u.id = "" // Nobody tells the passthrough whom to expect.
	cost(b, p.PID(), address)
}

func build(b *testing.B, dir, source string) string {
	b.Helper()
	program := filepath.Join(dir, filepath.Base(source))
	output, err := exec.Command("go", "build", "-o", program, source).CombinedOutput()
	require.NoError(b, err, string(output))
	return program
}

func cost(b *testing.B, pid int, address string) {
	b.Helper()
	before, _ := fleet.Usage(pid)
	b.ResetTimer()
	var callers sync.WaitGroup
	for c := range costCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := c; i < b.N; i += costCallers {
				ask(client, address, fmt.Sprintf("b%d-%d", c, i))
			}
		})
	}
	callers.Wait()
	after, _ := fleet.Usage(pid)
	b.ReportMetric((after-before)*1e6/float64(b.N), "cpu-us/op")
}

func ask(client *http.Client, address, attempt string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/look/"+attempt, nil)
	if err != nil {
		return 0
	}
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", "3000")
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close() //nolint:errcheck // Nothing is written to it.
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}
