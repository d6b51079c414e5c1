package listener

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// waitTimeout bounds every wait of these tests; only a failing test reaches it.
const waitTimeout = 20 * time.Second

// rig is a listener with a goroutine that accepts one connection a turn and answers it.
type rig struct {
	*Listener
	turns     chan struct{}
	served    chan error // What ended the goroutine.
	closing   chan Closing
	multipath bool // Dials offer Multipath TCP, as the listener does by default.
}

// newRig opens a listener that serves. Its goroutine has one turn, so that it waits in Accept.
func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{turns: make(chan struct{}, 100), served: make(chan error, 1), closing: make(chan Closing, 1)}
	var err error
	r.Listener, err = Listen("tcp4", "127.0.0.1:0", func(c Closing) { r.closing <- c })
	require.NoError(t, err)
	r.turns <- struct{}{}
	go r.serve()
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func (r *rig) serve() {
	for range r.turns {
		c, err := r.Accept()
		if err != nil {
			r.served <- err
			return
		}
		go func() {
			_, _ = io.Copy(c, c) // The caller may have gone.
			_ = c.Close()
		}()
	}
}

// goOn lets the goroutine accept until the listener is closed.
func (r *rig) goOn() {
	for range cap(r.turns) {
		r.turns <- struct{}{}
	}
}

// dial connects, writes a request, and returns the connection.
func (r *rig) dial(t *testing.T) net.Conn {
	t.Helper()
	dialer := net.Dialer{Timeout: waitTimeout}
	dialer.SetMultipathTCP(r.multipath)
	c, err := dialer.Dial("tcp4", r.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "request")
	require.NoError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	return c
}

// answered checks that the request on a connection is answered.
func answered(t *testing.T, c net.Conn) {
	t.Helper()
	answer := make([]byte, len("request"))
	_, err := io.ReadFull(c, answer)
	require.NoError(t, err)
	assert.Equal(t, "request", string(answer))
}

// refuseNothing stands for a kernel that can't refuse new connections.
func refuseNothing(*net.TCPListener) error { return errors.New("not supported") }

// Closing must accept the connections that were established before, even if the accepting goroutine
// runs only later, and whether or not the kernel can refuse new ones.
func TestCloseAcceptsEstablishedConnections(t *testing.T) {
	t.Parallel()
	for _, hold := range []time.Duration{0, handshakeTime, 3 * takeTimeout} {
		for _, c := range []struct {
			name      string
			refuse    func(*net.TCPListener) error
			multipath bool
		}{{"refused first", refuse, false}, {"fallback", refuseNothing, false}, {"refused first, MPTCP", refuse, true}} {
			t.Run(fmt.Sprintf("%s, held for %v", c.name, hold), func(t *testing.T) {
				t.Parallel()
				r := newRig(t)
				r.multipath = c.multipath
				r.refuse = func(l *net.TCPListener) error { // Close has begun.
					time.AfterFunc(hold, r.goOn)
					return c.refuse(l)
				}
				answered(t, r.dial(t)) // The goroutine has had its turn.
				waiting := []net.Conn{r.dial(t), r.dial(t), r.dial(t)}
				require.NoError(t, r.Close())
				for _, c := range waiting {
					answered(t, c)
				}
				require.ErrorIs(t, <-r.served, net.ErrClosed)
				closed := <-r.closing
				assert.LessOrEqual(t, closed.Lost, 0, "-1 if the system doesn't say")
				assert.Equal(t, 3, closed.Accepted)
			})
		}
	}
}

// While the listener closes, new connections must be refused at once, not time out.
func TestCloseRefusesNewConnections(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.goOn()
	answered(t, r.dial(t))
	var dials sync.WaitGroup
	dials.Go(func() {
		time.Sleep(handshakeTime / 2)
		began := time.Now()
		c, err := net.DialTimeout("tcp4", r.Addr().String(), waitTimeout)
		if err == nil {
			_ = c.Close()
		}
		assert.Less(t, time.Since(began), time.Second)
	})
	require.NoError(t, r.Close())
	dials.Wait()
	closed := <-r.closing
	if closed.Refused {
		assert.Zero(t, closed.Accepted)
	}
	_, err := net.DialTimeout("tcp4", r.Addr().String(), waitTimeout)
	assert.Error(t, err)
}

// A goroutine that never accepts again, or none at all, must not keep Close from returning.
func TestCloseIsBounded(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	answered(t, r.dial(t))
	r.dial(t)
	began := time.Now()
	require.NoError(t, r.Close())
	assert.GreaterOrEqual(t, time.Since(began), takeTimeout)
	assert.Equal(t, 1, (<-r.closing).Pending)
	assert.ErrorIs(t, r.Close(), net.ErrClosed, "a second call")

	unserved, err := Listen("tcp4", "127.0.0.1:0", func(Closing) {})
	require.NoError(t, err)
	began = time.Now()
	require.NoError(t, unserved.Close())
	assert.Less(t, time.Since(began), waitTimeout)
}
