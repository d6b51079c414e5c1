// Package e2e tests whole deployments that run as separate processes.
//
// # Usage
//
//	go test ./bench/e2e/
package e2e

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bench/fleet"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "eiderfold-e2e")
	if err == nil {
		binaries, err = fleet.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// threeNodes returns the Montevideo deployment with three nodes.
func threeNodes(t *testing.T) *fleet.Deployment {
	t.Helper()
	d, err := fleet.ReadDeployment("../deployments/montevideo.yaml")
	require.NoError(t, err)
	d.Nodes = 3
	return d
}

func startFleet(t *testing.T, d *fleet.Deployment, o fleet.Options) *fleet.Fleet {
	t.Helper()
	o.Dir = t.TempDir()
	f, err := fleet.Start(t.Context(), binaries, d, o)
	if err != nil {
		logTails(t, o.Dir)
	}
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			logTails(t, o.Dir)
		}
	})
	return f
}

// logTails logs the end of every node's log.
func logTails(t *testing.T, dir string) {
	const tail = 3000
	files, _ := filepath.Glob(filepath.Join(dir, "node-*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), text[max(len(text)-tail, 0):])
	}
}

// reply is the response to a request, or the error in place of one.
type reply struct {
	status int
	result string
	body   string
	err    error
}

// send sends a request with a mark and checks that a successful response is complete
// and belongs to this request.
func send(t *testing.T, method, url, mark, key, body string) reply {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("X-Mark", mark)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	got := reply{status: resp.StatusCode, result: resp.Header.Get("Eiderfold-Result"), body: string(text)}
	if got.result == "10" && got.status == http.StatusOK {
		assert.True(t, intact(got.body), "response is not complete: %q", got.body)
		assert.True(t, strings.HasPrefix(got.body, mark+" "), "response to another request: %q", got.body)
	}
	return got
}

// intact reports whether the checksum at the end of a response matches its body.
func intact(body string) bool {
	i := strings.LastIndexByte(body, ' ')
	return i >= 0 && fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body[:i]))) == body[i+1:]
}

// TestLookupAndKeyedOrder sends a lookup through every node, and an order with an
// idempotency key and its repeats: repeats through any node must get the first
// response, and a different body must be refused.
func TestLookupAndKeyedOrder(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{ViaFaultProxy: true})
	for i, n := range f.Nodes {
		got := send(t, http.MethodGet, "http://"+n.CallerAddress()+"/oficina-01/births/118", fmt.Sprintf("look-%d", i), "", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
	first := send(t, http.MethodPost, "http://"+f.Nodes[0].CallerAddress()+"/oficina-01/births", "mark-1", "key-1", "newborn")
	require.NoError(t, first.err)
	assert.Equal(t, "10", first.result, first.body)
	for _, n := range f.Nodes {
		again := send(t, http.MethodPost, "http://"+n.CallerAddress()+"/oficina-01/births", "mark-2", "key-1", "newborn")
		require.NoError(t, again.err)
		assert.Equal(t, "11", again.result, again.body)
		assert.Equal(t, first.body, again.body)
		other := send(t, http.MethodPost, "http://"+n.CallerAddress()+"/oficina-01/births", "mark-3", "key-1", "somebody else")
		assert.Equal(t, "25", other.result, other.body)
	}
	assert.Equal(t, 1, countStarts(t, f, "key-1"))
}

// countStarts returns how often the upstreams started work with a key.
func countStarts(t *testing.T, f *fleet.Fleet, key string) int {
	t.Helper()
	n := 0
	for _, u := range f.Upstreams {
		text, err := os.ReadFile(u.StartLog)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			if fields := strings.Split(line, " "); len(fields) > 1 && fields[1] == key {
				n++
			}
		}
	}
	return n
}

// TestConfigurationReachesEveryNode publishes through one node and waits until all
// nodes report the change in force; invalid and conflicting changes must be refused.
func TestConfigurationReachesEveryNode(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{})
	output, err := f.Eiderctl(1, "account", "set", "montevideo", "oficina-99", "office=99", "--wait")
	require.NoError(t, err, output)
	assert.Contains(t, output, "in force on 3 of 3 nodes")
	for _, n := range f.Nodes {
		got := send(t, http.MethodGet, "http://"+n.CallerAddress()+"/oficina-99/births/1", "m", "", "")
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
	output, err = f.Eiderctl(1, "account", "set", "montevideo", "oficina-99", "lookup_timeout=1h")
	require.Error(t, err)
	assert.Contains(t, output, "parameters.lookup_timeout: 1h is over the largest value 10s")
	assert.Contains(t, output, "parameters.office: required")
	output, err = f.Eiderctl(1, "account", "set", "montevideo", "oficina-99", "office=98", "--base", "7")
	require.Error(t, err)
	assert.Contains(t, output, "conflict")
}
