package mesh

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
)

const (
	// Histograms record times from 1 µs to one minute, with two significant digits.
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
)

// Metrics holds named counters and latency histograms.
type Metrics struct {
	counts     *expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewMetrics returns metrics that are all zero.
func NewMetrics() *Metrics {
	return &Metrics{counts: new(expvar.Map).Init(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) { m.counts.Add(name, 1) }

// Add adds a number to a counter.
func (m *Metrics) Add(name string, n int) { m.counts.Add(name, int64(n)) }

// Counts returns all counters as one line of JSON.
func (m *Metrics) Counts() string { return m.counts.String() }

// Observe records a duration in a histogram.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // Never fails: the value is clamped to the range.
}

// ServeHTTP writes one line per counter and per quantile of each histogram.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.counts.Do(func(v expvar.KeyValue) { fmt.Fprintf(w, "eiderfold_%s %s\n", v.Key, v.Value) })
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.histograms {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		h := m.histograms[name]
		for _, q := range []float64{50, 90, 99, 100} {
			fmt.Fprintf(w, "eiderfold_%s_seconds{quantile=\"%v\"} %v\n", name, q/100, float64(h.ValueAtQuantile(q))/1e6)
		}
		fmt.Fprintf(w, "eiderfold_%s_seconds_count %d\n", name, h.TotalCount())
	}
}

// summaryEvery is the interval of the log line with all counters and the state of the repeat budget. Log lines are sampled, and
// dropped while the output is slow; counters of both are among them, so that a log shows how
// many of its lines are missing.
const summaryEvery = 10 * time.Second

// summarize logs the counters periodically until ctx ends.
func (n *Node) summarize(ctx context.Context) {
	t := time.NewTicker(summaryEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.log.Info("summary", zap.Any("counts", json.RawMessage(n.metrics.Counts())), zap.Any("budget", n.budget.State(now)), zap.Any("bodies", n.bodies.State()))
		}
	}
}

// observability serves metrics and the dump.
func (n *Node) observability() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Dump()) // The client may be gone.
	})
	return mux
}
