package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bodymemory"
	"eiderfold/route"
)

const (
	uploadBytes  = 360 << 10
	uploadMemory = 4 << 20
)

// newLimitedServer starts a server with a memory limit for bodies, and counts the bodies
// refused for lack of memory.
func newLimitedServer(t testing.TB, serve Serve, bytes int64) (address string, refused *atomic.Int64) {
	t.Helper()
	refused = &atomic.Int64{}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(serve, func() route.Limits { return route.Limits{} }, WithBodyMemory(bodymemory.New(bytes), func() { refused.Add(1) }))
	go s.Serve(l) //nolint:errcheck // It ends with the listener.
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), refused
}

// Guards against large concurrent uploads exhausting the process's memory. Uploads beyond
// the limit are refused with a retry-after and do not run.
func TestUploadsStayWithinMemoryLimit(t *testing.T) {
	var held, most, served atomic.Int64
	address, refused := newLimitedServer(t, func(_ context.Context, r *Request) *Response {
		most.Store(max(most.Load(), held.Add(int64(len(r.Body)))))
		time.Sleep(20 * time.Millisecond)
		held.Add(-int64(len(r.Body)))
		served.Add(1)
		return text(200, "")
	}, uploadMemory)
	body := strings.Repeat("x", uploadBytes)
	var group sync.WaitGroup
	var unexpected atomic.Int64
	for range 200 {
		group.Go(func() {
			r, err := http.Post("http://"+address+"/", "font/woff", strings.NewReader(body))
			if err != nil {
				return // The refusal may come before the body is sent, and close the connection.
			}
			_ = r.Body.Close()
			if r.StatusCode != 200 && (r.StatusCode != 503 || r.Header.Get("Retry-After") == "") {
				unexpected.Add(1)
			}
		})
	}
	group.Wait()
	assert.Zero(t, unexpected.Load())
	assert.LessOrEqual(t, most.Load(), int64(uploadMemory))
	assert.EqualValues(t, 200, served.Load()+refused.Load(), "served, or refused for lack of memory")
	assert.Positive(t, served.Load())
}

// Guards against stalled senders blocking others by holding memory for bytes that they
// have not sent.
func TestStalledSendersHoldNoMemory(t *testing.T) {
	address, refused := newLimitedServer(t, func(context.Context, *Request) *Response { return text(200, "") }, uploadMemory)
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

// A body that announces more than the node can hold must be refused at once, before the rest of it is read or offered,
// and must take no memory from others.
func TestBodyLargerThanTheMemoryIsRead(t *testing.T) {
	const announced = 60_000_000
	var served, refused atomic.Int64
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	memory := bodymemory.New(uploadMemory)
	serve := func(context.Context, *Request) *Response {
		served.Add(1)
		return text(200, "")
	}
	limits := func() route.Limits { return route.Limits{BodyBytes: 64 << 20} }
	s := NewServer(serve, limits, WithBodyMemory(memory, func() { refused.Add(1) }))
	go s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer c.Close() //nolint:errcheck // Nothing more is sent.
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nxxxx", announced)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer r.Body.Close() //nolint:errcheck // Only read from.
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
	assert.EqualValues(t, 1, refused.Load())
	assert.Zero(t, served.Load())
	assert.Zero(t, memory.State().Peak)
}

// BenchmarkUploads reports the peak heap size of 200 concurrent uploads with memory for
// eleven.
func BenchmarkUploads(b *testing.B) {
	address, _ := newLimitedServer(b, func(context.Context, *Request) *Response {
		time.Sleep(5 * time.Millisecond)
		return text(200, "")
	}, uploadMemory)
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
