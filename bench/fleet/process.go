// Package fleet runs a whole deployment as real processes on loopback: nodes,
// stand-ins, and the cutter between them.
//
// # Usage
//
//	binaries, err := fleet.Build(dir)
//	f, err := fleet.Start(ctx, binaries, deployment, fleet.Options{Dir: dir})
//	defer f.Close()
//	f.SetMode("certificados-1", standin.Mode{FailShare: 1})
//
// Each node has an IP number of its own in 127.0.0.0/8 and dials from it, so that
// the cutter can tell links apart by who dials.
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

// Binaries are the programs of a deployment.
type Binaries struct {
	Node    string
	Control string
	Standin string
	// Baseline is a node with another policy.
	Baseline string
	// Passthrough is the smallest proxy, to compare costs with.
	Passthrough string
}

// Build compiles the programs into a folder. Run it from inside the workspace.
func Build(dir string) (Binaries, error) {
	b := Binaries{
		Node:     filepath.Join(dir, "eiderfold"),
		Control:  filepath.Join(dir, "eiderctl"),
		Standin:  filepath.Join(dir, "standin"),
		Baseline: filepath.Join(dir, "baseline"),

		Passthrough: filepath.Join(dir, "passthrough"),
	}
	for path, source := range map[string]string{
		b.Node:     "eiderfold/cmd/eiderfold",
		b.Control:  "eiderfold/cmd/eiderctl",
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
	killAfter    = 40 * time.Second
)

// start runs a program and reads its log; parse recognises the line that says it
// is ready and returns its addresses.
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
	// A test that is killed takes its processes with it.
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
	defer to.Close() //nolint:errcheck // A lost last line of a log is no matter.
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, _ = io.WriteString(to, lines.Text()+"\n")
		if found := parse(lines.Text()); found != nil {
			select {
			case p.ready <- found:
			default:
			}
		}
	}
}

// wait returns the addresses once the process is ready.
func (p *Process) wait(ctx context.Context) (map[string]string, error) {
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case found := <-p.ready:
		return found, nil
	case <-p.exited:
		return nil, errors.Errorf("%s ended at once; see %s", p.name, p.log)
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
	found, err := p.wait(ctx)
	return p, found["address"], err
}

// StartProgram runs a program that need not say that it is ready.
func StartProgram(name, dir, program string, arguments ...string) (*Process, error) {
	return start(name, filepath.Join(dir, name+".log"), program, arguments, func(string) map[string]string { return nil })
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error { return errors.Wrap(p.command.Process.Signal(s), p.name) }

// Kill ends the process at once, as a crash would.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // It may have ended already.
	<-p.exited
}

// Stop ends the process by plan and waits for it.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(killAfter):
		p.Kill()
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// parseListening reads the line of a stand-in.
func parseListening(line string) map[string]string {
	if address, ok := strings.CutPrefix(line, "listening "); ok {
		return map[string]string{"address": address}
	}
	return nil
}

// parseServing reads the log event of a node.
func parseServing(line string) map[string]string {
	var event struct{ Msg, Callers, Admin, Peers string }
	if json.Unmarshal([]byte(line), &event) != nil || event.Msg != "serving" {
		return nil
	}
	return map[string]string{"callers": event.Callers, "admin": event.Admin, "peers": event.Peers}
}
