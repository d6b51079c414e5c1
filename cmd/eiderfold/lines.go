package main

import (
	"io"
	"sync"
	"time"
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
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped func()
}

func newLineWriter(out io.Writer, dropped func()) *lineWriter {
	w := &lineWriter{out: out, lines: make(chan []byte, linesKept), closing: make(chan struct{}), done: make(chan struct{}), dropped: dropped}
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
	for last := false; !last; {
		bundle = append(bundle[:0], <-w.lines...)
		select {
		case <-w.closing:
			last = true
		case <-time.After(writeEvery):
		}
		bundle = w.collect(bundle)
		_, _ = w.out.Write(bundle) // There is nowhere left to report it.
	}
}

// collect takes what waits, without waiting for more.
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
		close(w.closing)
		select {
		case w.lines <- nil: // It may wait for a first line.
		default:
		}
		select {
		case <-w.done:
		case <-time.After(flushTime):
		}
	})
}
