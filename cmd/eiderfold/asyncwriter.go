package main

import (
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the number of log lines queued for a slow reader of standard
	// output. Further lines are dropped and counted.
	maxQueuedLines = 2048
	// flushInterval is the time between writes; lines in between are batched.
	flushInterval = 100 * time.Millisecond
	// flushTimeout bounds the last write when the process stops.
	flushTimeout = 200 * time.Millisecond
)

// asyncWriter writes log lines in the background, so that a stalled reader of the
// output never blocks a request.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped func()
}

func newAsyncWriter(out io.Writer, dropped func()) *asyncWriter {
	w := &asyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}), dropped: dropped}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never blocks or fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped()
	}
	return len(line), nil
}

// Sync does nothing: queued lines are written in the background.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run() {
	defer close(w.done)
	var batch []byte
	for last := false; !last; {
		batch = append(batch[:0], <-w.lines...)
		select {
		case <-w.closing:
			last = true
		case <-time.After(flushInterval):
		}
		batch = w.drain(batch)
		_, _ = w.out.Write(batch) // A failure to write logs can't be logged.
	}
}

// drain appends the queued lines to a batch without waiting for more.
func (w *asyncWriter) drain(batch []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// close writes the queued lines and waits at most flushTimeout for it.
func (w *asyncWriter) close() {
	w.once.Do(func() {
		close(w.closing)
		select {
		case w.lines <- nil: // Wakes run, which may be waiting for a line.
		default:
		}
		select {
		case <-w.done:
		case <-time.After(flushTimeout):
		}
	})
}
