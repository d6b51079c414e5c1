package mesh

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zaptest"

	"eiderfold/platform"
	"eiderfold/settings"
)

// heldListener is a listener whose accepting goroutine can be kept from running, as on a busy
// machine.
type heldListener struct {
	net.Listener
	turn        sync.Mutex // Locked while the accepting goroutine does not run.
	beforeClose func()
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.turn.Lock()
	//lint:ignore SA2001 It only waits for its turn.
	l.turn.Unlock()
	return l.Listener.Accept()
}

func (l *heldListener) Close() error {
	l.beforeClose()
	return l.Listener.Close()
}

// holdTime is how long the accepting goroutine does not run after the stop began to close its
// listener.
const holdTime = 30 * time.Millisecond

// A stop must answer a request that was written whole on an established connection before the
// listener began to close, although the node has not accepted that connection yet. It was reset.
func TestStopAnswersConnectionNotYetAccepted(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	one := b.newNode("one", "births")
	s, err := settings.ParseMesh("test", []byte(one.yaml))
	require.NoError(t, err)
	n := New(s, platform.New(one.store), NewMetrics(), zaptest.NewLogger(t))
	opened, err := n.listen()
	require.NoError(t, err)
	held := &heldListener{Listener: opened.callers}
	opened.callers = held
	n.serve(opened)

	held.turn.Lock() // The goroutine accepts one more connection and then waits.
	first, err := net.Dial("tcp4", s.Callers())
	require.NoError(t, err)
	defer first.Close() //nolint:errcheck // Nothing is written to it.
	var c net.Conn
	held.beforeClose = func() {
		c, err = net.Dial("tcp4", s.Callers())
		require.NoError(t, err)
		_, err = c.Write([]byte("GET /look/x HTTP/1.1\r\nHost: office.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1000\r\n\r\n"))
		require.NoError(t, err)
		time.AfterFunc(holdTime, held.turn.Unlock)
	}
	n.stop(opened)
	require.NotNil(t, c)
	defer c.Close() //nolint:errcheck // It was only read last.
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
}
