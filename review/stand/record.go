// Package stand holds what the review's scripts share: a record of what was sent, answered and run,
// and stand-ins for the platform's store, the machines with their nodes, the back ends and the
// clients. They use the standard library only.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file record.txt of a script.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// Add writes a line with the time since the start, in seconds.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
