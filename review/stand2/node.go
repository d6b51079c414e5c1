package stand2

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Block is a network of loopback addresses that a run has to itself.
type Block struct {
	lock   net.Listener
	prefix string
}

// NewBlock reserves a free block.
func NewBlock() (*Block, error) {
	var last error
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 210+rand.N(40), rand.N(250))
		l, err := net.Listen("tcp4", prefix+".1:8200")
		if err == nil {
			return &Block{lock: l, prefix: prefix}, nil
		}
		last = err
	}
	return nil, last
}

// Host returns address i of the block.
func (b *Block) Host(i int) string { return fmt.Sprintf("%s.%d", b.prefix, 10+i) }

// errClosed is returned when a node that was closed is to start.
var errClosed = errors.New("the node was closed")

// Node is one process of the system under test, started with the command of the deploy file and settings as its
// template lays them.
type Node struct {
	Name     string
	IP       string
	Zone     string
	Service  string
	Store    string
	MemoryMB int
	Root     string // The project's root.
	Dir      string // For settings and logs.

	record  *Record
	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	peakKB  int
	ends    int
	closed  bool // No process is started any more.
}

// The ports of a node and of the backend beside it.
const (
	portOutbound = 8201
	portInbound  = 8202
	portControl  = 8203
	portReady    = 8204
	portBackend  = 8205
)

func (n *Node) at(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// Outbound returns the address for clients.
func (n *Node) Outbound() string { return n.at(portOutbound) }

// Control returns the address for heartbeats.
func (n *Node) Control() string { return n.at(portControl) }

// App returns the address of the backend.
func (n *Node) App() string { return n.at(portBackend) }

const settingsText = `node: %q
data_centre: %q
upstream:
  address: %q
  service: %q
listen:
  callers: %q
  links: %q
  reports: %q
  ready: %q
regions: {%q: "region"}
first_start: %t
memory_mb: %d
store: %q
fleet:
  floor_share: 0.7
  acknowledge: 4000ms
retries:
  ratio: 0.2
  slack: 56
account_limits:
  window: 5s
  over: 0.1
  slack: 20
stop:
  grace: 6s
`

// Start starts the process. bootstrap is true only at the first start of the whole system.
func (n *Node) Start(record *Record, bootstrap bool) error {
	n.record = record
	settings := filepath.Join(n.Dir, n.Name+".yaml")
	text := fmt.Sprintf(settingsText, n.Name, n.Zone, n.App(), n.Service, n.Outbound(), n.at(portInbound), n.Control(), n.at(portReady), n.Zone, bootstrap, n.MemoryMB, n.Store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.Dir, n.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // The process has its own descriptor.
	c := exec.Command("target/eiderfold", "mesh")
	c.Dir = n.Root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EIDERFOLD_BOOT=" + settings}
	c.Stdout, c.Stderr = log, log
	exited := make(chan struct{})
	if err := n.launch(c, exited); err != nil {
		return err
	}
	go func() {
		err := c.Wait()
		record.Printf("node %s: process %d has ended: %v", n.Name, c.Process.Pid, err)
		close(exited)
	}()
	record.Printf("node %s: process %d starts", n.Name, c.Process.Pid)
	return nil
}

// launch starts the process, unless the node was closed.
func (n *Node) launch(c *exec.Cmd, exited chan struct{}) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errClosed
	}
	if err := c.Start(); err != nil {
		return err
	}
	n.process, n.exited = c, exited
	return nil
}

// Close kills the process for good.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	started := n.process != nil
	n.mu.Unlock()
	if started {
		n.Kill()
	}
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Printf("node %s: %v to process %d", n.Name, s, n.process.Process.Pid)
	_ = n.process.Process.Signal(s) // It may have ended.
}

// Kill kills the process and waits until it has ended.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.Exited()
}

// Exited returns a channel that is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// AwaitReady waits until the node answers the platform's readiness check with 200.
func (n *Node) AwaitReady(until time.Time) bool {
	for time.Now().Before(until) {
		if n.Ready() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// Ready asks once whether the node is ready.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + n.at(portReady) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
