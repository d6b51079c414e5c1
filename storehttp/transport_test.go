package storehttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFailedCallClosesIdleConnections checks that the call after a failed one does not reuse a
// connection that was idle at the time, whether the failed call received no response or only
// part of the response body.
func TestFailedCallClosesIdleConnections(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"no response": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"truncated body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			const idleConns = 2
			var openedConns atomic.Int32
			var arrived sync.WaitGroup
			arrived.Add(idleConns)
			mux := http.NewServeMux()
			mux.HandleFunc("/concurrent", func(http.ResponseWriter, *http.Request) {
				arrived.Done()
				arrived.Wait() // Keeps the calls concurrent, so that each opens a connection.
			})
			mux.HandleFunc("/fail", fail)
			mux.HandleFunc("/ok", func(http.ResponseWriter, *http.Request) {})
			server := httptest.NewUnstartedServer(mux)
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					openedConns.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			client := &http.Client{Transport: NewTransport(&http.Transport{MaxIdleConnsPerHost: idleConns}), Timeout: 10 * time.Second}
			call := func(path string) error {
				response, err := client.Post(server.URL+path, "", nil) // net/http does not retry a POST that reached the server.
				if err != nil {
					return err
				}
				defer response.Body.Close() //nolint:errcheck // Only read from.
				_, err = io.ReadAll(response.Body)
				return err
			}
			var calls sync.WaitGroup
			for range idleConns {
				calls.Go(func() { assert.NoError(t, call("/concurrent")) })
			}
			calls.Wait()
			require.EqualValues(t, idleConns, openedConns.Load())
			require.Error(t, call("/fail"))
			require.NoError(t, call("/ok"))
			assert.EqualValues(t, idleConns+1, openedConns.Load(), "the call after the failure opens a new connection")
			require.NoError(t, call("/ok"))
			assert.EqualValues(t, idleConns+1, openedConns.Load(), "the call after a successful one reuses its connection")
		})
	}
}

// A response whose head does not end must not take memory until the call's deadline.
func TestHeadWithoutEndIsRead(t *testing.T) {
	for _, c := range []struct{ begin, again string }{
		{"HTTP/1.1 200 OK\r\nA: ", "x"}, {"HTTP/1.1 200 OK\r\n", "A: x\r\n"}, {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, {"", "x"},
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		written := make(chan int, 1)
		go func() {
			defer l.Close() //nolint:errcheck // One connection only.
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close() //nolint:errcheck // Nothing more is sent.
			n, piece := 0, c.begin
			for err == nil {
				var more int
				more, err = io.WriteString(conn, piece)
				n += more
				piece = strings.Repeat(c.again, 1000)
			}
			written <- n
		}()
		client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: time.Minute}
		_, err = client.Get("http://" + l.Addr().String()) //nolint:bodyclose // There is no response.
		require.Error(t, err)
		assert.Less(t, <-written, maxHeadBytes+16<<20) // Both ends' sockets hold some megabytes.
	}
}

// A response whose head breaks off must be an error.
func TestHeadThatBreaksOffIsAResponse(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 20", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			defer l.Close() //nolint:errcheck // One connection only.
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}()
		client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: time.Minute}
		_, err = client.Post("http://"+l.Addr().String(), "", nil) //nolint:bodyclose // There is no response.
		assert.Error(t, err, text)
	}
}
