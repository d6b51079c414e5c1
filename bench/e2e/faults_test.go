package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/bench/fleet"
	"eiderfold/bench/standin"
	"eiderfold/port"
)

const (
	patience = 30 * time.Second
	pace     = 50 * time.Millisecond
)

func births(n *fleet.Node) string { return "http://" + n.Callers() + "/oficina-01/births" }

// sendUntilKnown repeats a keyed request until its outcome is known, as a caller
// that is told "unknown" should.
func sendUntilKnown(t *testing.T, n *fleet.Node, key string) reply {
	t.Helper()
	var got reply
	require.Eventually(t, func() bool {
		got = ask(t, http.MethodPost, births(n), "mark-"+key, key, "newborn")
		return got.result == "10" || got.result == "11"
	}, patience, pace, "key %s", key)
	return got
}

// other returns a running node that is not the one given.
func other(f *fleet.Fleet, not *fleet.Node) *fleet.Node {
	for _, n := range f.Nodes {
		if n != not && n.Running() {
			return n
		}
	}
	return nil
}

// TestKilledCoordinator kills the coordinator between a request and its repeat.
func TestKilledCoordinator(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{Linked: true})
	dead := f.Coordinator()
	require.NotNil(t, dead)
	// One operation through the coordinator itself, whose memory goes with it, and
	// one through another node.
	through := other(f, dead)
	require.Equal(t, "10", ask(t, http.MethodPost, births(dead), "m1", "at-coordinator", "newborn").result)
	require.Equal(t, "10", ask(t, http.MethodPost, births(through), "m2", "at-other", "newborn").result)
	dead.Kill()
	require.NoError(t, f.Deregister(dead.Name))
	assert.Equal(t, "11", sendUntilKnown(t, other(f, through), "at-other").result)
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		got := ask(t, http.MethodPost, births(n), "m3", "at-coordinator", "newborn")
		assert.NotEqual(t, "10", got.result, "an operation of the killed coordinator ran again")
	}
	assert.Equal(t, "10", sendUntilKnown(t, through, "new").result)
	for _, key := range []string{"at-coordinator", "at-other", "new"} {
		assert.Equal(t, 1, starts(t, f, key), key)
	}
}

// TestPausedCoordinator stops the coordinator's process for longer than any lease.
// When it goes on it must neither grant nor eject by what it believed before.
func TestPausedCoordinator(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{Linked: true})
	paused := f.Coordinator()
	require.NotNil(t, paused)
	through := other(f, paused)
	require.Equal(t, "10", ask(t, http.MethodPost, births(through), "m1", "before", "newborn").result)
	require.NoError(t, paused.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool {
		n := coordinatorAmong(f, paused)
		return n != nil && n != paused
	}, patience, pace, "nobody stood in")
	require.NoError(t, paused.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool { return leaders(f) == 1 }, patience, pace)
	var sending sync.WaitGroup
	for _, n := range f.Nodes {
		sending.Go(func() { sendUntilKnown(t, n, "after") })
		sending.Go(func() { assert.Equal(t, "11", sendUntilKnown(t, n, "before").result) })
	}
	sending.Wait()
	assert.Equal(t, 1, starts(t, f, "before"))
	assert.Equal(t, 1, starts(t, f, "after"))
}

// coordinatorAmong asks all nodes but a paused one, which would not answer.
func coordinatorAmong(f *fleet.Fleet, paused *fleet.Node) *fleet.Node {
	for _, n := range f.Nodes {
		if n == paused {
			continue
		}
		if d, err := f.Dump(n); err == nil && d.Groups[f.Deployment.Name].Leading {
			return n
		}
	}
	return nil
}

func leaders(f *fleet.Fleet) int {
	n := 0
	for _, node := range f.Nodes {
		if d, err := f.Dump(node); err == nil && d.Groups[f.Deployment.Name].Leading {
			n++
		}
	}
	return n
}

// TestStoreOut lets the store be out while an upstream turns sick: requests flow,
// operations run, the sick one is ejected, and a change is refused honestly.
func TestStoreOut(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{})
	require.NoError(t, f.SetPlatform(standin.PlatformFaults{Out: true}))
	require.NoError(t, f.SetMode("certificados-1", standin.Mode{FailShare: 1}))
	sick := f.Nodes[0]
	require.Eventually(t, func() bool {
		for i, n := range f.Nodes {
			got := ask(t, http.MethodGet, "http://"+n.Callers()+"/oficina-01/births/118", fmt.Sprint("m", i), "", "")
			assert.Equal(t, http.StatusOK, got.status, got.body)
		}
		return phaseOf(t, f, sick, "certificados", "certificados-1") == "out"
	}, patience, time.Millisecond, "the sick upstream is not ejected")
	assert.Equal(t, "10", ask(t, http.MethodPost, births(f.Nodes[1]), "m", "while-out", "newborn").result)
	output, err := f.Control(0, "account", "set", "montevideo", "oficina-50", "office=50")
	assert.Equal(t, 7, exitCode(err), output)
	require.NoError(t, f.SetPlatform(standin.PlatformFaults{}))
	require.Eventually(t, func() bool {
		output, err = f.Control(0, "account", "set", "montevideo", "oficina-50", "office=50", "--wait")
		return err == nil
	}, patience, pace, output)
}

func phaseOf(t *testing.T, f *fleet.Fleet, n *fleet.Node, service, upstream string) string {
	t.Helper()
	d, err := f.Dump(n)
	require.NoError(t, err)
	for _, u := range d.Groups[f.Deployment.Name].Services[service].Upstreams {
		if u.Name == upstream {
			return u.Phase
		}
	}
	return "gone"
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// TestPublishWhoseAnswerIsLost lets writes take effect and their answers get lost.
func TestPublishWhoseAnswerIsLost(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{})
	before := sequenceOf(t, f, "oficina-01")
	require.NoError(t, f.SetPlatform(standin.PlatformFaults{LoseWrites: true}))
	output, err := f.Control(0, "account", "set", "montevideo", "oficina-01", "office=77", "--publish-id", "once")
	require.NoError(t, err, output)
	output, err = f.Control(1, "account", "set", "montevideo", "oficina-01", "office=77", "--publish-id", "once")
	require.NoError(t, err, output)
	require.NoError(t, f.SetPlatform(standin.PlatformFaults{}))
	assert.Equal(t, before+1, sequenceOf(t, f, "oficina-01"), "published other than once")
}

// sequenceOf returns the sequence of an account's bucket in the store.
func sequenceOf(t *testing.T, f *fleet.Fleet, account string) int {
	t.Helper()
	output, err := f.Control(0, "account", "show", "montevideo", account, "-o", "json")
	require.NoError(t, err, output)
	var sequence int
	for line := range strings.Lines(output) {
		if _, after, ok := strings.Cut(line, `"Sequence": `); ok {
			_, err := fmt.Sscanf(after, "%d", &sequence)
			require.NoError(t, err)
		}
	}
	require.NotZero(t, sequence, output)
	return sequence
}

// TestTwoOperators lets two publish from the same base at the same moment.
func TestTwoOperators(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{})
	codes := make([]int, 2)
	var publishing sync.WaitGroup
	for i := range codes {
		publishing.Go(func() {
			_, err := f.Control(i, "template", "publish", "../deployments/montevideo.template.yaml", "--base", "1")
			codes[i] = exitCode(err)
		})
	}
	publishing.Wait()
	assert.ElementsMatch(t, []int{0, 4}, codes)
}

// TestRollingStop stops and replaces every node in turn under load. A caller that
// cannot connect goes to the next node; nothing that was sent may be cut.
func TestRollingStop(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{})
	stop := make(chan struct{})
	var mu sync.Mutex
	var cut []string
	sent := 0
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				err := roundTrip(client, f, c, i)
				mu.Lock()
				sent++
				if err != nil {
					cut = append(cut, err.Error())
				}
				mu.Unlock()
			}
		})
	}
	for _, n := range f.Nodes {
		require.NoError(t, f.Register("eiderfold-montevideo", n.Name, n.PeerAddress(), "sede-central", port.Leaving))
		n.Stop()
		require.NoError(t, f.Restart(t.Context(), n))
		require.Eventually(t, func() bool { return ready(f, n) }, patience, pace)
	}
	close(stop)
	callers.Wait()
	assert.Empty(t, cut, "of %d requests", sent)
	assert.Greater(t, sent, 100)
}

// ready reports whether a restarted node serves and follows a coordinator.
func ready(f *fleet.Fleet, n *fleet.Node) bool {
	d, err := f.Dump(n)
	if err != nil || d.Accounts == 0 {
		return false
	}
	g := d.Groups[f.Deployment.Name]
	return g.LeaseLeft != "0s" && len(g.Services["certificados"].Upstreams) == 6
}

// roundTrip sends one request, to the next node if a node takes no connection or
// says that it is not ready. Any other failure is one that the stop must not cause.
func roundTrip(client *http.Client, f *fleet.Fleet, caller, i int) error {
	var last error
	for attempt := range 200 {
		n := f.Nodes[(caller+i+attempt)%len(f.Nodes)]
		r, err := http.NewRequest(http.MethodGet, "http://"+n.Callers()+"/oficina-01/births/118", nil)
		if err != nil {
			return err
		}
		answer, err := client.Do(r)
		if err != nil {
			if dial := (*net.OpError)(nil); errors.As(err, &dial) && dial.Op == "dial" {
				// No connection, so nothing was sent.
				time.Sleep(pace / 5)
				last = err
				continue
			}
			return err
		}
		_ = answer.Body.Close()
		switch answer.StatusCode {
		case http.StatusOK:
			return nil
		case http.StatusServiceUnavailable:
			// A restarted node that has no configuration yet says so.
			last = errors.Errorf("%s: result %s", n.Name, answer.Header.Get("Eiderfold-Result"))
			time.Sleep(pace / 5)
		default:
			return errors.Errorf("status %d, result %s", answer.StatusCode, answer.Header.Get("Eiderfold-Result"))
		}
	}
	return last
}

// TestStartWhileStoreOut replaces a node while the platform is out: it gets its
// configuration, its roster and its coordinator from its seeds.
func TestStartWhileStoreOut(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{})
	last := f.Nodes[2]
	require.Equal(t, "10", ask(t, http.MethodPost, births(f.Nodes[0]), "m1", "before", "newborn").result)
	require.NoError(t, f.SetPlatform(standin.PlatformFaults{Out: true}))
	for f.Coordinator() == last { // With the platform out nobody could replace it.
		last = f.Nodes[1]
	}
	last.Kill()
	before, err := f.Dump(f.Coordinator())
	require.NoError(t, err)
	require.NoError(t, f.Restart(t.Context(), last))
	require.Eventually(t, func() bool { return ready(f, last) }, patience, pace)
	after, err := f.Dump(last)
	require.NoError(t, err)
	assert.Equal(t, before.Sequences, after.Sequences)
	got := ask(t, http.MethodGet, "http://"+last.Callers()+"/oficina-01/births/118", "m", "", "")
	assert.Equal(t, http.StatusOK, got.status, got.body)
	// It may not have been heard by the coordinator yet, and says so; it must not run.
	assert.Equal(t, "11", sendUntilKnown(t, last, "before").result)
	assert.Equal(t, 1, starts(t, f, "before"))
}

// TestLeavingUpstream lets an upstream say itself that it is leaving, while the
// platform's list says nothing.
func TestLeavingUpstream(t *testing.T) {
	f := startFleet(t, small(t), fleet.Options{})
	require.NoError(t, f.SetMode("certificados-2", standin.Mode{Leaving: true}))
	require.Eventually(t, func() bool {
		for i, n := range f.Nodes {
			got := ask(t, http.MethodGet, "http://"+n.Callers()+"/oficina-01/births/118", fmt.Sprint("m", i), "", "")
			assert.Equal(t, http.StatusOK, got.status, got.body)
		}
		for _, n := range f.Nodes {
			if phaseOf(t, f, n, "certificados", "certificados-2") != "gone" {
				return false
			}
		}
		return true
	}, patience, time.Millisecond, "a leaving upstream is still in rotation")
}
