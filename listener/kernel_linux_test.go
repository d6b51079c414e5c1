package listener

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Linux must refuse new connections and count those that wait, also for a listener that offers
// MPTCP, as net.Listen opens it. Before 5.7 refusing them needs a privilege.
func TestKernelRefusesAndCounts(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	answered(t, r.dial(t))
	r.dial(t)
	r.dial(t)
	assert.Equal(t, 2, queued(r.socket))
	if err := refuse(r.socket); err != nil {
		require.ErrorIs(t, err, unix.EPERM)
		return
	}
	_, err := net.DialTimeout("tcp4", r.Addr().String(), waitTimeout)
	assert.ErrorIs(t, err, unix.ECONNREFUSED)
}
