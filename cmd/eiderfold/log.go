package main

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"eiderfold/mesh"
)

// Sampling of log lines with the same message: each second, the first logInFull are
// logged, then one in logOneIn. It keeps flapping decisions from flooding the log.
const (
	logInFull = 20
	logOneIn  = 100
)

// plainErrors is a core that logs errors as their text, without the stack traces of
// pkg/errors.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

// plain returns the fields with errors replaced by their texts.
func plain(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}

// meshLogger returns a logger that writes sampled JSON lines to standard output
// without blocking, and a function that flushes and closes it.
func meshLogger(level string, metrics *mesh.Metrics) (*zap.Logger, func(), error) {
	minLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, err
	}
	w := newAsyncWriter(os.Stdout, func() { metrics.Count("log_lines_dropped") })
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.StacktraceKey = zapcore.OmitKey
	e.EncodeDuration = zapcore.MillisDurationEncoder
	sampled := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			metrics.Count("log_lines_sampled_away")
		}
	}
	core := zapcore.NewSamplerWithOptions(plainErrors{zapcore.NewCore(zapcore.NewJSONEncoder(e), w, minLevel)}, time.Second, logInFull, logOneIn, zapcore.SamplerHook(sampled))
	return zap.New(core), w.close, nil
}

// logger returns the logger of all commands except mesh.
func logger(level, format string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Encoding = format
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.Sampling = &zap.SamplingConfig{Initial: logInFull, Thereafter: logOneIn}
	c.DisableStacktrace = true
	var err error
	if c.Level, err = zap.ParseAtomicLevel(level); err != nil {
		return nil, err
	}
	return c.Build()
}
