// Package fleet runs a whole deployment as processes on loopback: nodes, simulated
// upstreams, a simulated platform and the fault proxy between them.
//
// # Usage
//
//	binaries, err := fleet.Build(dir)
//	f, err := fleet.Start(ctx, binaries, deployment, fleet.Options{Dir: dir})
//	defer f.Close()
//	f.SetMode("certificados-1", standin.Mode{FailShare: 1})
//
// Each node has its own IP address in 127.0.0.0/8 and dials from it, so that the fault
// proxy can distinguish links by their source.
package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Binaries holds the paths of the programs that a deployment runs.
type Binaries struct {
	Node     string // eiderfold
	Eiderctl string
	Standin  string // Simulated upstreams and platform, and the fault proxy.
	// Baseline is a node that runs a baseline policy.
	Baseline string
	// Passthrough is a minimal proxy, for comparing the cost of a request.
	Passthrough string
}

// Build compiles the programs into a directory. The working directory must be inside
// the Go workspace.
func Build(dir string) (Binaries, error) {
	b := Binaries{
		Node:     filepath.Join(dir, "eiderfold"),
		Eiderctl: filepath.Join(dir, "eiderctl"),
		Standin:  filepath.Join(dir, "standin"),
		Baseline: filepath.Join(dir, "baseline"),

		Passthrough: filepath.Join(dir, "passthrough"),
	}
	for path, source := range map[string]string{
		b.Node:     "eiderfold/cmd/eiderfold",
		b.Eiderctl: "eiderfold/cmd/eiderctl",
		b.Standin:  "eiderfold/bench/cmd/standin",
		b.Baseline: "eiderfold/bench/cmd/baseline",

		b.Passthrough: "eiderfold/bench/cmd/passthrough",
	} {
		if output, err := exec.Command("go", "build", "-o", path, source).CombinedOutput(); err != nil {
			return b, errors.Wrapf(err, "build %s: %s", source, output)
		}
	}
	return b, nil
}

// Process is one running program.
type Process struct {
	name    string
	command *exec.Cmd
	log     string
	ready   chan map[string]string
	exited  chan struct{}
}

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 40 * time.Second
)

// start runs a program and copies its output to a log file. parse returns the
// addresses from the line that reports readiness, and nil for any other line.
func start(name, log, program string, arguments []string, parse func(line string) map[string]string) (*Process, error) {
	p := &Process{name: name, log: log, command: exec.Command(program, arguments...), ready: make(chan map[string]string, 1), exited: make(chan struct{})}
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	p.command.Stdout, p.command.Stderr = writer, writer
	// Kills the program if the test process dies.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	_ = writer.Close()
	go p.read(reader, out, parse)
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *Process) read(from io.Reader, to io.WriteCloser, parse func(string) map[string]string) {
	defer to.Close() //nolint:errcheck // Losing the last line of a log is acceptable.
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, _ = io.WriteString(to, lines.Text()+"\n")
		if addresses := parse(lines.Text()); addresses != nil {
			select {
			case p.ready <- addresses:
			default:
			}
		}
	}
}

// wait waits until the process is ready and returns its addresses.
func (p *Process) wait(ctx context.Context) (map[string]string, error) {
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case addresses := <-p.ready:
		return addresses, nil
	case <-p.exited:
		return nil, errors.Errorf("%s exited before it was ready; see %s", p.name, p.log)
	case <-timer.C:
		return nil, errors.Errorf("%s is not ready; see %s", p.name, p.log)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// StartStandin runs a program that prints "listening ADDRESS", and returns the
// address.
func StartStandin(ctx context.Context, name, dir, program string, arguments ...string) (*Process, string, error) {
	p, err := start(name, filepath.Join(dir, name+".log"), program, arguments, parseListening)
	if err != nil {
		return nil, "", err
	}
	addresses, err := p.wait(ctx)
	return p, addresses["address"], err
}

// StartProgram runs a program that does not report readiness.
func StartProgram(name, dir, program string, arguments ...string) (*Process, error) {
	return start(name, filepath.Join(dir, name+".log"), program, arguments, func(string) map[string]string { return nil })
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends the process a signal.
func (p *Process) Signal(s os.Signal) error { return errors.Wrap(p.command.Process.Signal(s), p.name) }

// Kill kills the process, as in a crash, and waits for its exit.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // It may have exited already.
	<-p.exited
}

// Stop terminates the process gracefully and waits for its exit; after stopTimeout it
// kills it.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// parseListening parses the line with which a simulated server reports its address.
func parseListening(line string) map[string]string {
	if address, ok := strings.CutPrefix(line, "listening "); ok {
		return map[string]string{"address": address}
	}
	return nil
}

// parseServing parses the log event with which a node reports its addresses.
func parseServing(line string) map[string]string {
	var event struct{ Msg, Callers, Admin, Peers string }
	if json.Unmarshal([]byte(line), &event) != nil || event.Msg != "serving" {
		return nil
	}
	return map[string]string{"callers": event.Callers, "admin": event.Admin, "peers": event.Peers}
}
