package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/route"
)

const (
	uploadBytes = 360 << 10
	uploadRoom  = 4 << 20
)

// roomyServer serves with a bound on bodies, and counts those that find no room.
func roomyServer(t testing.TB, serve Serve, bytes int64) (address string, refused *atomic.Int64) {
	t.Helper()
	refused = &atomic.Int64{}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(serve, func() route.Limits { return route.Limits{} }, WithRoom(bytes, func() { refused.Add(1) }))
	go s.Serve(l) //nolint:errcheck // It ends with the listener.
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), refused
}

// Two hundred callers send the largest body of a foundry's uploads at once to a node with
// room for eleven, and its upstreams are slow. Bodies were read whole without a bound: 72 MB
// were held, and an instance of 184 MB ends with three copies of that. What finds no room is
// told so soon, with when to come back, and has not run; the node never holds more than it
// has room for.
func TestUploadsStayWithinTheRoom(t *testing.T) {
	var held, most, served atomic.Int64
	address, refused := roomyServer(t, func(_ context.Context, r *Request) *Response {
		most.Store(max(most.Load(), held.Add(int64(len(r.Body)))))
		time.Sleep(20 * time.Millisecond)
		held.Add(-int64(len(r.Body)))
		served.Add(1)
		return text(200, "")
	}, uploadRoom)
	body := strings.Repeat("x", uploadBytes)
	var group sync.WaitGroup
	var unexpected atomic.Int64
	for range 200 {
		group.Go(func() {
			r, err := http.Post("http://"+address+"/", "font/woff", strings.NewReader(body))
			if err != nil {
				return // The refusal may overtake the body, and the connection end under it.
			}
			_ = r.Body.Close()
			if r.StatusCode != 200 && (r.StatusCode != 503 || r.Header.Get("Retry-After") == "") {
				unexpected.Add(1)
			}
		})
	}
	group.Wait()
	assert.Zero(t, unexpected.Load())
	assert.LessOrEqual(t, most.Load(), int64(uploadRoom))
	assert.EqualValues(t, 200, served.Load()+refused.Load(), "served, or told that there is no room")
	assert.Positive(t, served.Load())
}

// A sender that stalls keeps no more than it has sent: others find room all the while.
func TestStalledSendersKeepNoRoom(t *testing.T) {
	address, refused := roomyServer(t, func(context.Context, *Request) *Response { return text(200, "") }, uploadRoom)
	for range 16 {
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer c.Close() //nolint:errcheck // Nothing more is sent.
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nxxxx", uploadBytes)
		require.NoError(t, err)
	}
	for range 20 {
		r, err := http.Post("http://"+address+"/", "font/woff", strings.NewReader(strings.Repeat("x", uploadBytes)))
		require.NoError(t, err)
		_ = r.Body.Close()
		assert.Equal(t, 200, r.StatusCode)
	}
	assert.Zero(t, refused.Load())
}

// What was taken for a request is given back, whatever came of it: after any number of
// good, cut off and refused bodies the whole room is there.
func TestRoomIsGivenBack(t *testing.T) {
	r := newRoom(100)
	s := &share{room: r}
	require.NoError(t, s.take(60))
	other := &share{room: r}
	synctest.Test(t, func(t *testing.T) {
		assert.ErrorIs(t, other.take(60), errNoRoom)
	})
	other.release()
	s.release()
	require.NoError(t, other.take(1000), "one that is larger than the room gets all of it")
	other.release()
	assert.True(t, r.bytes.TryAcquire(100))
}

// A caller asks for a font and reads nothing of it. Its answer was held for as long as the
// connection lived, as writing had no deadline. A piece that is not taken within
// unreadTime ends the connection; one that is read slowly is delivered whole.
func TestUnreadAnswerEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, node := net.Pipe()
		w := pieceWriter{node}
		go func() {
			time.Sleep(unreadTime / 2)
			_, _ = io.ReadFull(caller, make([]byte, 3*pieceBytes/2))
		}()
		n, err := w.Write(make([]byte, 2*pieceBytes))
		assert.True(t, timedOut(err))
		assert.Less(t, n, 2*pieceBytes)
		assert.GreaterOrEqual(t, n, pieceBytes)
	})
}

// BenchmarkUploads reports the most memory that 200 uploads at once take, of which a node
// has room for eleven.
func BenchmarkUploads(b *testing.B) {
	address, _ := roomyServer(b, func(context.Context, *Request) *Response {
		time.Sleep(5 * time.Millisecond)
		return text(200, "")
	}, uploadRoom)
	body := strings.Repeat("x", uploadBytes)
	most := uint64(0)
	for b.Loop() {
		var group sync.WaitGroup
		for range 200 {
			group.Go(func() {
				if r, err := http.Post("http://"+address+"/", "font/woff", strings.NewReader(body)); err == nil {
					_ = r.Body.Close()
				}
			})
		}
		group.Wait()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapInuse)
	}
	b.ReportMetric(float64(most)/(1<<20), "MB")
}
