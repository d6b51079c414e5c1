package gate

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/platform"
	"eiderfold/port"
)

// noRecords are records that cannot be read.
type noRecords struct{}

func (noRecords) Leaving(context.Context, port.Incarnation) (bool, error) {
	return false, errors.New("the store is out")
}

func (noRecords) RecordLeaving(context.Context, port.Incarnation) {}

// Without the store, the health answer decides whether an upstream is leaving. A check that is
// rejected, as a request may be, must not count as the answer of another incarnation or of one that
// leaves: the gate would stay closed for good.
func TestHealthAnswerDecidesWithoutTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		writes  string
		leaving bool
		unknown bool
	}{
		"well":             {writes: "200 OK\r\nInstance-Id: i-1\r\n"},
		"another":          {writes: "200 OK\r\nInstance-Id: i-2\r\n", leaving: true},
		"rejected":         {writes: "503 Service Unavailable\r\nNot-Executed: 1\r\n", unknown: true},
		"failing":          {writes: "503 Service Unavailable\r\nInstance-Id: i-1\r\n", unknown: true},
		"leaves":           {writes: "503 Service Unavailable\r\nInstance-Id: i-1\r\nServer-Leaving: 1\r\n", leaving: true},
		"leaves and limit": {writes: "200 OK\r\nInstance-Id: i-1\r\nServer-Leaving: 1\r\nServer-Limit: 2\r\n", leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			u := startRaw(t, func(conn *net.TCPConn, _ *http.Request, _ []byte) bool {
				_, _ = conn.Write([]byte("HTTP/1.1 " + c.writes + "Content-Length: 0\r\n\r\n"))
				return true
			})
			g := New(Upstream{Address: u.Addr().String(), Service: scriptService}, platform.Headers{}, zap.NewNop(),
				WithRecords(noRecords{}), WithHealthPath(func() string { return "/health" }))
			leaving, source, err := g.checkLeaving(port.Incarnation{ID: "i-1"})
			if c.unknown {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.leaving, leaving)
			assert.Equal(t, "health check", source)
		})
	}
}

// A health answer names the limit before any request does, and the checks keep to it.
func TestHealthChecksKeepToTheNamedLimit(t *testing.T) {
	u := startRaw(t, func(conn *net.TCPConn, _ *http.Request, _ []byte) bool {
		_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nInstance-Id: i-1\r\nServer-Limit: 0.5\r\nContent-Length: 0\r\n\r\n"))
		return true
	})
	g := New(Upstream{Address: u.Addr().String(), Service: scriptService}, platform.Headers{}, zap.NewNop(),
		WithRecords(noRecords{}), WithHealthPath(func() string { return "/health" }))
	g.admission.Update(Reported{At: time.Now(), Report: port.Report{Incarnation: port.Incarnation{ID: "i-1"}, Service: scriptService, Slots: 4, Sequence: 1}})
	assert.Equal(t, confirmInterval, g.confirmPause())
	_, _, err := g.checkLeaving(port.Incarnation{ID: "i-1"})
	require.Error(t, err)
	assert.Equal(t, 2*time.Second, g.confirmPause())
}
