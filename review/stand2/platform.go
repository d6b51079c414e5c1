package stand2

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	memoryCheckEvery = 2 * time.Millisecond
	// restartDelay is the pause before a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
)

// Supervise does what the platform does for a process: it kills it above its memory, and starts it again when it
// has ended, until stop is closed. It counts only the anonymous memory, which is less than all that is resident.
func (n *Node) Supervise(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-n.Exited():
			n.mu.Lock()
			n.ends++
			n.mu.Unlock()
			time.Sleep(restartDelay)
			if err := n.Start(n.record, false); err != nil {
				n.record.Printf("node %s: %v", n.Name, err)
				return
			}
		case <-time.After(memoryCheckEvery):
			n.checkMemory()
		}
	}
}

// checkMemory kills the process if it is above its memory.
func (n *Node) checkMemory() {
	kb := n.AnonymousKB()
	n.mu.Lock()
	n.peakKB = max(n.peakKB, kb)
	n.mu.Unlock()
	if kb > n.MemoryMB<<10 {
		n.record.Printf("platform: node %s has %d MB, above its %d MB", n.Name, kb>>10, n.MemoryMB)
		n.Signal(syscall.SIGKILL)
		<-n.Exited()
	}
}

// AnonymousKB returns the anonymous resident memory of the process in KiB, 0 if it is unknown.
func (n *Node) AnonymousKB() int {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// Ends returns how often the process has ended by itself or was killed above its memory.
func (n *Node) Ends() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ends
}

// PeakKB returns the largest memory seen.
func (n *Node) PeakKB() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakKB
}
