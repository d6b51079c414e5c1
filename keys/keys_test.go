package keys

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeFiles writes a pair and its authority to files and returns their paths.
func writeFiles(t *testing.T, dir string, p Pair, authority []byte) [3]string {
	t.Helper()
	paths := [3]string{filepath.Join(dir, "c"), filepath.Join(dir, "k"), filepath.Join(dir, "a")}
	for i, text := range [][]byte{p.Certificate, p.Key, authority} {
		require.NoError(t, os.WriteFile(paths[i], text, 0o600))
	}
	return paths
}

// handshake makes a TLS handshake between two materials and returns the client's error,
// or the server's if the client has none.
func handshake(t *testing.T, server, client *Material) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // No longer needed.
	failed := make(chan error, 1)
	go func() {
		far, err := l.Accept()
		if err == nil {
			err = tls.Server(far, server.MutualTLS()).Handshake()
			_ = far.Close()
		}
		failed <- err
	}()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	err = tls.Client(near, client.MutualTLS()).Handshake()
	_ = near.Close() // Unblocks a server that still waits for the client.
	if serverErr := <-failed; err == nil {
		err = serverErr
	}
	return err
}

// TestRotation checks that a node's keys can be replaced, without a restart, by keys of
// a new authority that the other node trusts as well as the old one.
func TestRotation(t *testing.T) {
	before, err := NewAuthority("before")
	require.NoError(t, err)
	after, err := NewAuthority("after")
	require.NoError(t, err)
	both := append(append([]byte{}, before.Certificate()...), after.Certificate()...)
	first, err := before.Issue("a", []string{"127.0.0.1"})
	require.NoError(t, err)
	other, err := before.Issue("b", []string{"127.0.0.1"})
	require.NoError(t, err)
	dir := t.TempDir()
	paths := writeFiles(t, dir, first, before.Certificate())
	a, err := Load(paths[0], paths[1], paths[2])
	require.NoError(t, err)
	b, err := New(other, both)
	require.NoError(t, err)
	require.NoError(t, handshake(t, a, b))
	second, err := after.Issue("a", []string{"127.0.0.1"})
	require.NoError(t, err)
	writeFiles(t, dir, second, both)
	require.NoError(t, a.Reload())
	assert.NoError(t, handshake(t, a, b))
	onlyOld, err := New(other, before.Certificate())
	require.NoError(t, err)
	assert.Error(t, handshake(t, a, onlyOld), "a node that does not trust the new authority refuses its keys")
	require.NoError(t, os.WriteFile(paths[1], []byte("broken"), 0o600))
	require.Error(t, a.Reload())
	assert.NoError(t, handshake(t, a, b), "the previous keys stay in use")
}

func TestAuthorityFromFiles(t *testing.T) {
	a, err := NewAuthority("a")
	require.NoError(t, err)
	again, err := OpenAuthority(a.Pair())
	require.NoError(t, err)
	pair, err := again.Issue("n", []string{"127.0.0.1"})
	require.NoError(t, err)
	m, err := New(pair, a.Certificate())
	require.NoError(t, err)
	assert.NoError(t, handshake(t, m, m))
	_, err = again.Issue("n", []string{"node-1"})
	assert.ErrorContains(t, err, "not an IP address")
}
