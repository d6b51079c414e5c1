package mesh

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
)

// testUpstream answers requests by a function and counts the runs of each attempt.
type testUpstream struct {
	*httptest.Server
	id      string
	service string
	healthy atomic.Bool
	mu      sync.Mutex
	runs    map[string]int
	callers map[string]string
	headers map[string]http.Header
	work    func(r *http.Request)
}

func (u *testUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		if !u.healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	u.mu.Lock()
	u.runs[attempt]++
	u.callers[attempt] = r.Header.Get("Caller-Service")
	u.headers[attempt] = r.Header.Clone()
	work := u.work
	u.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	if work != nil {
		work(r)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Stamp", "stamp-of-"+u.id)
	_, _ = fmt.Fprintf(w, "%s by %s: %s", r.RequestURI, u.id, body)
}

func (u *testUpstream) setWork(f func(r *http.Request)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = f
}

// hold makes an upstream's work wait until the returned function is called.
func (u *testUpstream) hold() (started chan struct{}, goOn func()) {
	started, wait := make(chan struct{}, 16), make(chan struct{})
	u.setWork(func(*http.Request) {
		started <- struct{}{}
		<-wait
	})
	return started, sync.OnceFunc(func() { close(wait) })
}

// seen returns the header that an attempt came with, if it ran here.
func (u *testUpstream) seen(attempt string) (http.Header, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h, ok := u.headers[attempt]
	return h, ok
}

func (u *testUpstream) ran(attempt string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[attempt]
}
