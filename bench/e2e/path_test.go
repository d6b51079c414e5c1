// Package e2e drives whole deployments as real processes.
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

// small is Montevideo with three nodes and its smaller service only.
func small(t *testing.T) *fleet.Deployment {
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
		logs(t, o.Dir)
	}
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			logs(t, o.Dir)
		}
	})
	return f
}

// logs shows the end of every process's log.
func logs(t *testing.T, dir string) {
	const tail = 3000
	files, _ := filepath.Glob(filepath.Join(dir, "node-*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), text[max(len(text)-tail, 0):])
	}
}

// reply is what a caller got.
type reply struct {
	status int
	result string
	body   string
	err    error
}

// ask sends a request with a mark and checks that a good answer is whole and its
// own.
func ask(t *testing.T, method, url, mark, key, body string) reply {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("X-Mark", mark)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	answer, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close() //nolint:errcheck // Only read from.
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{err: err}
	}
	got := reply{status: answer.StatusCode, result: answer.Header.Get("Eiderfold-Result"), body: string(text)}
	if got.result == "10" && got.status == http.StatusOK {
		assert.True(t, intact(got.body), "answer is not whole: %q", got.body)
		assert.True(t, strings.HasPrefix(got.body, mark+" "), "answer to another request: %q", got.body)
	}
	return got
}

// intact checks the checksum that an upstream puts at the end of an answer.
func intact(body string) bool {
	i := strings.LastIndexByte(body, ' ')
	return i >= 0 && fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body[:i]))) == body[i+1:]
}

// TestWholePath sends a lookup, a keyed order and its repeats through three nodes.
func TestWholePath(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{Linked: true})
	for i, n := range f.Nodes {
		got := ask(t, http.MethodGet, "http://"+n.Callers()+"/oficina-01/births/118", fmt.Sprintf("look-%d", i), "", "")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
	first := ask(t, http.MethodPost, "http://"+f.Nodes[0].Callers()+"/oficina-01/births", "mark-1", "key-1", "newborn")
	require.NoError(t, first.err)
	assert.Equal(t, "10", first.result, first.body)
	for _, n := range f.Nodes {
		again := ask(t, http.MethodPost, "http://"+n.Callers()+"/oficina-01/births", "mark-2", "key-1", "newborn")
		require.NoError(t, again.err)
		assert.Equal(t, "11", again.result, again.body)
		assert.Equal(t, first.body, again.body)
		other := ask(t, http.MethodPost, "http://"+n.Callers()+"/oficina-01/births", "mark-3", "key-1", "somebody else")
		assert.Equal(t, "25", other.result, other.body)
	}
	assert.Equal(t, 1, starts(t, f, "key-1"))
}

// starts counts how often work with a key was started on any upstream.
func starts(t *testing.T, f *fleet.Fleet, key string) int {
	t.Helper()
	n := 0
	for _, u := range f.Upstreams {
		text, err := os.ReadFile(u.Starts)
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
// say that it is in force; what is refused changes nothing.
func TestConfigurationReachesEveryNode(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{})
	output, err := f.Control(1, "account", "set", "montevideo", "oficina-99", "office=99", "--wait")
	require.NoError(t, err, output)
	assert.Contains(t, output, "in force on 3 of 3 nodes")
	for _, n := range f.Nodes {
		got := ask(t, http.MethodGet, "http://"+n.Callers()+"/oficina-99/births/1", "m", "", "")
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
	output, err = f.Control(1, "account", "set", "montevideo", "oficina-99", "lookup_timeout=1h")
	require.Error(t, err)
	assert.Contains(t, output, "parameters.lookup_timeout: 1h is over the largest value 10s")
	assert.Contains(t, output, "parameters.office: required")
	output, err = f.Control(1, "account", "set", "montevideo", "oficina-99", "office=98", "--base", "7")
	require.Error(t, err)
	assert.Contains(t, output, "conflict")
}
