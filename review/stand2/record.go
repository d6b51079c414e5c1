// Package stand2 holds the stand-ins of the second review's scripts: the platform's store, an application backend, a
// client with one kept connection, and the start of nodes as the deploy file starts them.
//
// # Usage
//
//	record, err := stand2.OpenRecord("record.txt")
//	f, err := stand2.StartFleet(record, stand2.FleetOptions{Root: root, Nodes: 3})
//	defer f.Close()
package stand2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

// OpenRecord creates the file.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// Printf writes a line with the seconds since the start.
func (r *Record) Printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Result writes a line, also to standard output.
func (r *Record) Result(format string, arguments ...any) {
	r.Printf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
