package stand

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Fleet is a small deployment on loopback.
type Fleet struct {
	Root    string // The project's root, where the platform starts nodes.
	Dir     string // A temporary folder with settings and logs.
	Store   *Store
	Record  *Record
	Zones   []string
	Grace   time.Duration
	mu      sync.Mutex
	nodes   []*Machine
	Program string // The program of the deploy file's command.
	block   string // Of the machines' addresses.
}

// NewFleet returns a deployment without machines. The working folder must be the project's root.
func NewFleet(recordPath string, zones ...string) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	program := filepath.Join(root, "target", "eiderfold")
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	block, err := network()
	if err != nil {
		return nil, err
	}
	store, err := NewStore(fmt.Sprintf("%s.1:%d", block, portStore))
	if err != nil {
		return nil, err
	}
	record, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Root: root, Dir: dir, Store: store, Record: record, Zones: zones, Grace: 6 * time.Second, Program: program, block: block}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		f.Close()
		os.Exit(2)
	}()
	return f, nil
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.nodes {
		m.Kill()
	}
	f.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
	} else {
		fmt.Println("kept", f.Dir)
	}
}

// Machine is a machine with a back end and a node.
type Machine struct {
	fleet                                           *Fleet
	Name, Zone, Service                             string
	App, Inbound, Advertise, Outbound, Ready, Beats string
	settings                                        string
	mu                                              sync.Mutex
	process                                         *exec.Cmd
	done                                            chan struct{}
	ended                                           error
}

// Each machine has a loopback address of its own, and the ports are alike on all machines, as the pages
// say. Outgoing connections take their ports from far above these.
const (
	portReady = 8141 + iota
	portStore
	portAdvertised
	portBeats
	portApp
	portInbound
	portOutbound
)

// network returns the first three parts of a block of loopback addresses that nobody uses.
func network() (string, error) {
	for range 1000 {
		block := fmt.Sprintf("127.%d.%d", 200+rand.IntN(50), rand.IntN(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", block, portStore))
		if err == nil {
			return block, l.Close()
		}
	}
	return "", errors.New("no free block of addresses")
}

// NewMachine reserves a machine's addresses and writes its node's settings, laid as
// deploy/node.yaml.template lays them. advertise is the address under which other nodes reach it,
// "" for its own.
func (f *Fleet) NewMachine(name, zone, service, advertise string) (*Machine, error) {
	m := &Machine{fleet: f, Name: name, Zone: zone, Service: service, Advertise: advertise}
	f.mu.Lock()
	ip := fmt.Sprintf("%s.%d", f.block, len(f.nodes)+2)
	f.mu.Unlock()
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m.App, m.Inbound, m.Outbound = address(portApp), address(portInbound), address(portOutbound)
	m.Ready, m.Beats = address(portReady), address(portBeats)
	regions := make([]string, 0, len(f.Zones))
	for _, z := range f.Zones {
		regions = append(regions, fmt.Sprintf("%q:%q", z, "montevideo"))
	}
	text := fmt.Sprintf(`node: %q
data_centre: %q
upstream:
  address: %q
  service: %q
listen:
  callers: %q
  links: %q
  reports: %q
  ready: %q
`, name, zone, m.App, service, m.Outbound, m.Inbound, m.Beats, m.Ready)
	if advertise != "" {
		text += fmt.Sprintf("  advertise: %q\n", advertise)
	}
	text += fmt.Sprintf(`regions: {%s}
first_start: true
memory_mb: 284
store: %q
fleet:
  floor_share: 0.7
  acknowledge: 4000ms
retries:
  ratio: 0.2
  slack: 56
stop:
  grace: %v
`, strings.Join(regions, ","), f.Store.Address(), f.Grace)
	if os.Getenv("DEBUG") != "" {
		text += "log: {level: debug}\n"
	}
	m.settings = filepath.Join(f.Dir, name+".yaml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, m)
	f.mu.Unlock()
	return m, nil
}

// Start starts the node's process with the command of the deploy file.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.fleet.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(m.fleet.Program, "mesh")
	c.Dir = m.fleet.Root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EIDERFOLD_BOOT=" + m.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.process, m.done, m.ended = c, done, nil
	go func() {
		err := c.Wait()
		_ = log.Close()
		m.mu.Lock()
		m.ended = err
		m.mu.Unlock()
		close(done)
	}()
	return nil
}

// Pid returns the process id of the node.
func (m *Machine) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Pid
}

// Ended reports whether the node's process has ended.
func (m *Machine) Ended() bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the node's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s) // It may have ended.
	}
}

// Kill ends the node's process at once and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.Wait(5 * time.Second)
}

// Wait waits for the end of the node's process.
func (m *Machine) Wait(atMost time.Duration) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(atMost):
		return false
	}
}

// Log returns what the node has logged.
func (m *Machine) Log() string {
	text, _ := os.ReadFile(filepath.Join(m.fleet.Dir, m.Name+".log"))
	return string(text)
}

// AwaitReady waits until the node says that it is ready.
func (m *Machine) AwaitReady(atMost time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	for ctx.Err() == nil {
		if m.Ended() {
			return fmt.Errorf("the node of %s has ended: %s", m.Name, m.Log())
		}
		r, err := http.Get("http://" + m.Ready + "/-/readiness")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", m.Name)
}
