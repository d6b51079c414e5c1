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
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/keys"
	"eiderfold/memory"
	"eiderfold/result"
	"eiderfold/settings"
)

// freePort returns an address with a port that was free a moment ago.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // Only used to find a port.
	return l.Addr().String()
}

// startNode starts a node without any configuration, with TLS for callers. The node stops when stop
// is called, or when the test ends.
func startNode(t *testing.T, connections int) (url string, client func() *http.Client, stop func()) {
	t.Helper()
	return startNodeWithAdmin(t, connections, "127.0.0.1:0", http.NotFoundHandler())
}

// startNodeWithAdmin is startNode with the address and the handler of operators' requests.
func startNodeWithAdmin(t *testing.T, connections int, address string, admin http.Handler) (url string, client func() *http.Client, stop func()) {
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
listen: {callers: "%s", admin: "%s", peers: "127.0.0.1:0"}
platform: {address: "http://none"}
keys: {certificate: a, key: b, authority: c}
limits: {connections: %d}
stop: {grace: 1ms}
`, callers, address, connections)
	path := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path, func(string) (string, bool) { return "", false }, nil)
	require.NoError(t, err)
	n, err := New(s, material, WithStore(memory.NewStore()), WithList(memory.NewList()))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, admin, material) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.Certificate())
	return "https://" + callers + "/a/b", func() *http.Client {
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}
		t.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport, Timeout: 10 * time.Second}
	}, cancel
}

func get(t *testing.T, c *http.Client, url string) *http.Response {
	t.Helper()
	var response *http.Response
	require.Eventually(t, func() bool {
		var err error
		response, err = c.Get(url)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	_ = response.Body.Close()
	return response
}

// TestTLSAndHTTP2 guards against a node that does not offer HTTP/2 over TLS, or that
// answers with anything but "no configuration" before it has one.
func TestTLSAndHTTP2(t *testing.T) {
	url, client, _ := startNode(t, 10)
	response := get(t, client(), url)
	assert.Equal(t, 2, response.ProtoMajor)
	assert.Equal(t, fmt.Sprint(int(result.NoConfiguration)), response.Header.Get(result.Header))
}

// TestTooManyConnections guards against serving more connections than the settings
// allow.
func TestTooManyConnections(t *testing.T) {
	url, client, _ := startNode(t, 1)
	first := client()
	assert.Equal(t, fmt.Sprint(int(result.NoConfiguration)), get(t, first, url).Header.Get(result.Header))
	assert.Equal(t, fmt.Sprint(int(result.TooManyConnections)), get(t, client(), url).Header.Get(result.Header))
}

// A planned stop must answer a caller whose connection was established before the listener began to
// close, although the node has not accepted it yet, as it serves its maximum of connections.
func TestStopAnswersConnectionNotYetAccepted(t *testing.T) {
	url, client, stop := startNode(t, 1)
	get(t, client(), url)
	address, _, _ := strings.Cut(strings.TrimPrefix(url, "https://"), "/")
	second, err := net.Dial("tcp", address) // With the first, twice the limit: the next is not accepted.
	require.NoError(t, err)
	time.Sleep(acceptTime)
	answered := make(chan error, 1)
	go func() {
		response, err := client().Get(url)
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	time.Sleep(acceptTime) // It is established, and waits.
	stop()
	time.Sleep(acceptTime)
	require.NoError(t, second.Close())
	assert.NoError(t, <-answered)
}

// acceptTime is long enough for a connection to be established, and to be accepted if it may be.
const acceptTime = 30 * time.Millisecond

// A planned stop must answer an operator's request that it is handling: a publication was cut, and its operator could
// not know whether it is in force.
func TestStopCutsOperatorsRequest(t *testing.T) {
	address := freePort(t)
	began := make(chan bool)
	_, client, stop := startNodeWithAdmin(t, 10, address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		began <- true
		time.Sleep(500 * time.Millisecond) // Longer than the rest of the stop.
		w.WriteHeader(http.StatusCreated)
	}))
	status := make(chan int, 1)
	go func() {
		c := client()
		for {
			response, err := c.Post("https://"+address+"/", "", nil)
			if errors.Is(err, syscall.ECONNREFUSED) {
				continue // The node has not started.
			}
			if err != nil {
				t.Error(err)
				close(status)
				return
			}
			_ = response.Body.Close()
			status <- response.StatusCode
			return
		}
	}()
	<-began
	stop()
	assert.Equal(t, http.StatusCreated, <-status)
}
