package main

import (
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"eiderfold/mesh"
)

const (
	// linesKept is how many log lines wait for a slow reader of standard output;
	// what comes on top is dropped and counted.
	linesKept = 2048
	// writeEvery bundles lines into few writes.
	writeEvery = 100 * time.Millisecond
	// flushTime bounds the last write of a stopping process.
	flushTime = 200 * time.Millisecond
)

// lineWriter writes log lines in the background, so that a stalled reader costs
// lines and not requests.
type lineWriter struct {
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped func()
}

func newLineWriter(dropped func()) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, linesKept), done: make(chan struct{}), dropped: dropped}
	go w.run()
	return w
}

// Write queues a line or drops it.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped()
	}
	return len(line), nil
}

// Sync does nothing: lines are on their way.
func (w *lineWriter) Sync() error { return nil }

func (w *lineWriter) run() {
	defer close(w.done)
	var bundle []byte
	for line := range w.lines {
		if line == nil {
			break
		}
		bundle = append(bundle[:0], line...)
		time.Sleep(writeEvery)
		bundle = w.collect(bundle)
		_, _ = os.Stdout.Write(bundle) // There is nowhere left to report it.
	}
}

func (w *lineWriter) collect(bundle []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			bundle = append(bundle, line...)
		default:
			return bundle
		}
	}
}

// close writes what waits, within flushTime.
func (w *lineWriter) close() {
	w.once.Do(func() {
		time.Sleep(writeEvery)
		select {
		case w.lines <- nil:
		default:
		}
		select {
		case <-w.done:
		case <-time.After(flushTime):
		}
	})
}

// meshLogger logs JSON lines to standard output, sampled within each second and
// never blocking.
func meshLogger(level string, metrics *mesh.Metrics) (*zap.Logger, func(), error) {
	least, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, err
	}
	w := newLineWriter(func() { metrics.Count("log_lines_dropped") })
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.StacktraceKey = zapcore.OmitKey
	e.EncodeDuration = zapcore.MillisDurationEncoder
	sampled := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			metrics.Count("log_lines_sampled_away")
		}
	}
	core := zapcore.NewSamplerWithOptions(zapcore.NewCore(zapcore.NewJSONEncoder(e), w, least), time.Second, logInFull, logOneIn, zapcore.SamplerHook(sampled))
	return zap.New(core), w.close, nil
}
