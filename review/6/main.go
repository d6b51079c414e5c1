// Command 6 shows that answers which announce a large body and go on without end take the node beside the backend above
// its memory, so that the platform kills it and the requests that clients have in flight there are lost.
package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"review/stand2"
)

const (
	memoryMB = 184
	slots    = 11
	workTime = 300 * time.Millisecond
	clients  = 30
	// The dose of `garble`: two of four backends spoil 2 in 100 of their answers, for 5.5 s at a time.
	faultyBackends = 2
	spoilEvery     = 50
	spoilTime      = 5500 * time.Millisecond
	pauseTime      = 6 * time.Second
	windows        = 4
	announcedBytes = 64 << 20
	maxLost        = 3
	maxEnds        = 3
)

func main() { stand2.Main(run) }

func run(record *stand2.Record, root string, trouble bool) (bool, error) {
	var spoiling atomic.Bool
	f, err := stand2.StartFleet(record, stand2.FleetOptions{Root: root, Nodes: 4, Slots: slots, MemoryMB: memoryMB, Work: func(string) time.Duration { return workTime }})
	defer f.Close()
	if err != nil {
		return false, err
	}
	for _, b := range f.Backends[:faultyBackends] {
		var answers atomic.Int64
		b.Spoils = func() bool { return spoiling.Load() && answers.Add(1)%spoilEvery == 0 }
		b.Spoiled = func(c net.Conn, r *http.Request) { writeWithoutEnd(record, b, c, r) }
	}
	stop, stopLoad := make(chan struct{}), make(chan struct{})
	defer close(stop)
	load := &stand2.Load{Method: http.MethodPost}
	for _, n := range f.Nodes {
		go n.Supervise(stop)
		running := load.Run(record, n, clients, 20*time.Millisecond, stopLoad)
		defer running.Wait()
	}
	defer close(stopLoad)
	for range windows {
		time.Sleep(pauseTime)
		spoiling.Store(trouble)
		time.Sleep(spoilTime)
		spoiling.Store(false)
	}
	time.Sleep(pauseTime)
	return judge(record, f, load), nil
}

// writeWithoutEnd writes a head that announces a body, and then bytes until the caller closes.
func writeWithoutEnd(record *stand2.Record, b *stand2.Backend, c net.Conn, r *http.Request) {
	written, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", announcedBytes)
	piece := make([]byte, 64<<10)
	for n := 0; err == nil; written += n {
		n, err = c.Write(piece)
	}
	record.Printf("backend %s wrote %d bytes to %s until its caller closed", b.ID(), written, r.Header.Get("Attempt-Id"))
}

// judge applies the rule LOST, and writes what the rule Fault counts. Requests that ran at a faulty backend do not count.
func judge(record *stand2.Record, f *stand2.Fleet, load *stand2.Load) bool {
	ended := 0
	for _, n := range f.Nodes {
		record.Result("node %s: ended %d times, largest memory %d MB of %d MB", n.Name, n.Ends(), n.PeakKB()>>10, n.MemoryMB)
		if n.Ends() >= maxEnds {
			ended++
		}
	}
	lost := load.Lost(f.Backends[faultyBackends:])
	for _, o := range lost {
		record.Printf("lost: %s at %s ran at a sound backend, and its connection was closed without an answer", o.Attempt, o.Node.Name)
	}
	record.Result("LOST: %d of %d requests ran at a sound backend and got no answer on a kept connection (more than %d break the rule)", len(lost), len(load.Sent()), maxLost)
	record.Result("Fault: on %d machines the process ended %d times or more (not part of the check)", ended, maxEnds)
	return len(lost) > maxLost
}
