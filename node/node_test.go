package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/keys"
	"eiderfold/memory"
	"eiderfold/result"
	"eiderfold/settings"
)

// freePort asks the kernel for a port.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // It only served to find a port.
	return l.Addr().String()
}

// running starts a node that knows no template, with TLS towards callers.
func running(t *testing.T, connections int) (url string, client func() *http.Client) {
	t.Helper()
	authority, err := keys.NewAuthority("a")
	require.NoError(t, err)
	pair, err := authority.Issue("n", []string{"127.0.0.1"})
	require.NoError(t, err)
	material, err := keys.New(pair, authority.Certificate())
	require.NoError(t, err)
	callers := freePort(t)
	text := fmt.Sprintf(`node: n
data_centre: d
templates: [t]
listen: {callers: "%s", admin: "127.0.0.1:0", peers: "127.0.0.1:0"}
platform: {address: "http://none"}
keys: {certificate: a, key: b, authority: c}
limits: {connections: %d}
stop: {grace: 1ms}
`, callers, connections)
	path := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path, func(string) (string, bool) { return "", false }, nil)
	require.NoError(t, err)
	n, err := New(s, material, WithStore(memory.NewStore()), WithList(memory.NewList()))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, http.NotFoundHandler(), material) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.Certificate())
	return "https://" + callers + "/a/b", func() *http.Client {
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}
		t.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport, Timeout: 10 * time.Second}
	}
}

func get(t *testing.T, c *http.Client, url string) *http.Response {
	t.Helper()
	var answer *http.Response
	require.Eventually(t, func() bool {
		var err error
		answer, err = c.Get(url)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	_ = answer.Body.Close()
	return answer
}

// TestTLSAndHTTP2 asks a node that knows nothing: it says so, and guesses nothing.
func TestTLSAndHTTP2(t *testing.T) {
	url, client := running(t, 10)
	answer := get(t, client(), url)
	assert.Equal(t, 2, answer.ProtoMajor)
	assert.Equal(t, fmt.Sprint(int(result.NoConfiguration)), answer.Header.Get(result.Header))
}

// TestTooManyConnections opens more connections than the settings allow.
func TestTooManyConnections(t *testing.T) {
	url, client := running(t, 1)
	first := client()
	assert.Equal(t, fmt.Sprint(int(result.NoConfiguration)), get(t, first, url).Header.Get(result.Header))
	assert.Equal(t, fmt.Sprint(int(result.TooManyConnections)), get(t, client(), url).Header.Get(result.Header))
}
