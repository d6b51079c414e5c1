package main

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stalledWriter blocks every write until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// TestStalledOutputDropsLines writes more lines than the queue holds to a stalled
// output: Write doesn't block, and dropped lines are counted.
func TestStalledOutputDropsLines(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	var dropped atomic.Int64
	w := newAsyncWriter(out, func() { dropped.Add(1) })
	const lines = 3 * maxQueuedLines
	for range lines {
		_, err := w.Write([]byte("line\n"))
		assert.NoError(t, err)
	}
	assert.GreaterOrEqual(t, dropped.Load(), int64(lines-2*maxQueuedLines-1))
	close(out.release)
	w.close()
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Equal(t, int64(lines), dropped.Load()+int64(bytes.Count(out.text.Bytes(), []byte("line\n"))))
}

// TestErrorsWithoutStacks checks that errors of pkg/errors are logged without their
// stack traces.
func TestErrorsWithoutStacks(t *testing.T) {
	var out bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.InfoLevel)
	zap.New(plainErrors{core}).With(zap.NamedError("first", errors.New("one"))).Info("x", zap.Error(errors.New("two")))
	assert.Contains(t, out.String(), `"first":"one"`)
	assert.Contains(t, out.String(), `"error":"two"`)
	assert.NotContains(t, out.String(), "Verbose")
}
