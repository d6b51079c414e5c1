package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/route"
)

// answerWithoutBody sends the header of a request and a part of its body, and returns the status of the answer and the
// connection.
func (n *testNode) answerWithoutBody(path string, length int) (int, net.Conn, *bufio.Reader) {
	n.cluster.t.Helper()
	c, err := net.Dial("tcp4", n.settings.Load().Callers())
	require.NoError(n.cluster.t, err)
	n.cluster.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: office.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\nabc", path, length)
	require.NoError(n.cluster.t, err)
	require.NoError(n.cluster.t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	in := bufio.NewReader(c)
	r, err := http.ReadResponse(in, nil)
	require.NoError(n.cluster.t, err, "no answer before the body")
	_, err = io.Copy(io.Discard, r.Body)
	require.NoError(n.cluster.t, err)
	return r.StatusCode, c, in
}

// What the header alone decides must be answered before the body has arrived: an unknown path, a stop.
func TestRefusalWaitsForBody(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	n := b.add("one", "births")
	b.awaitReady()
	status, c, in := n.answerWithoutBody("/unknown/x", 6)
	assert.Equal(t, http.StatusNotFound, status)
	_, err := io.WriteString(c, "defGET /unknown/y HTTP/1.1\r\nHost: office.example\r\nAttempt-Id: a2\r\n\r\n")
	require.NoError(t, err)
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err, "the connection is kept after a short body")
	assert.Equal(t, http.StatusNotFound, r.StatusCode)

	status, _, _ = n.answerWithoutBody("/unknown/x", 1000000)
	assert.Equal(t, http.StatusNotFound, status)
	n.forwarder.Refuse(time.Now())
	status, _, _ = n.answerWithoutBody("/write/x", 1000000)
	assert.Equal(t, http.StatusServiceUnavailable, status)
}

// Messages must not wait on a link while a configuration that came before them is decoded, nor on another link that has
// a message about the configuration.
func TestConfigurationHoldsBackLinks(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	n := b.add("one", "births")
	b.awaitReady()
	decode := n.platform.DecodeConfiguration
	began, release := make(chan bool), make(chan bool)
	defer close(release)
	n.platform.DecodeConfiguration = func(text []byte) (route.Document, error) {
		began <- true
		<-release
		return decode(text)
	}
	var links []*link.Link
	for range 2 {
		conn, err := net.Dial("tcp4", n.settings.Load().Links())
		require.NoError(t, err)
		l := link.New(conn)
		t.Cleanup(l.Close)
		go l.Run(func(*link.Frame) {}) //nolint:errcheck // It ends with the test.
		links = append(links, l)
	}
	links[0].Send(&link.Frame{Configuration: &link.Configuration{Version: 99, Packed: pack(configurationText(99))}})
	<-began
	links[1].Send(&link.Frame{Configuration: &link.Configuration{Version: 1}})
	for i, l := range links {
		l.Ping()
		require.Eventually(t, func() bool { return l.LastPong().Unix() > 0 }, waitTimeout/4, time.Millisecond, "link %d", i)
	}
}
