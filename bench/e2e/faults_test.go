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
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

func birthsURL(n *fleet.Node) string { return "http://" + n.CallerAddress() + "/oficina-01/births" }

// sendUntilKnown repeats a keyed request until its outcome is known, as a caller
// that gets an unknown outcome should.
func sendUntilKnown(t *testing.T, n *fleet.Node, key string) reply {
	t.Helper()
	var got reply
	require.Eventually(t, func() bool {
		got = send(t, http.MethodPost, birthsURL(n), "mark-"+key, key, "newborn")
		return got.result == "10" || got.result == "11"
	}, waitTimeout, pollInterval, "key %s", key)
	return got
}

// otherNode returns a running node other than the given one.
func otherNode(f *fleet.Fleet, not *fleet.Node) *fleet.Node {
	for _, n := range f.Nodes {
		if n != not && n.Running() {
			return n
		}
	}
	return nil
}

// TestKilledCoordinator kills the coordinator between a request and its repeat; no
// operation may run twice.
func TestKilledCoordinator(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{ViaFaultProxy: true})
	killed := f.Coordinator()
	require.NotNil(t, killed)
	// One operation goes through the coordinator, whose memory is lost, and one
	// through another node.
	entry := otherNode(f, killed)
	require.Equal(t, "10", send(t, http.MethodPost, birthsURL(killed), "m1", "at-coordinator", "newborn").result)
	require.Equal(t, "10", send(t, http.MethodPost, birthsURL(entry), "m2", "at-other", "newborn").result)
	killed.Kill()
	require.NoError(t, f.Deregister(killed.Name))
	assert.Equal(t, "11", sendUntilKnown(t, otherNode(f, entry), "at-other").result)
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		got := send(t, http.MethodPost, birthsURL(n), "m3", "at-coordinator", "newborn")
		assert.NotEqual(t, "10", got.result, "an operation of the killed coordinator ran again")
	}
	assert.Equal(t, "10", sendUntilKnown(t, entry, "new").result)
	for _, key := range []string{"at-coordinator", "at-other", "new"} {
		assert.Equal(t, 1, countStarts(t, f, key), key)
	}
}

// TestPausedCoordinator pauses the coordinator's process for longer than any lease.
// Once resumed, it must neither grant operations nor eject upstreams by its old state.
func TestPausedCoordinator(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{ViaFaultProxy: true})
	paused := f.Coordinator()
	require.NotNil(t, paused)
	entry := otherNode(f, paused)
	require.Equal(t, "10", send(t, http.MethodPost, birthsURL(entry), "m1", "before", "newborn").result)
	require.NoError(t, paused.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool {
		n := coordinatorExcept(f, paused)
		return n != nil && n != paused
	}, waitTimeout, pollInterval, "no other node became coordinator")
	require.NoError(t, paused.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool { return countLeaders(f) == 1 }, waitTimeout, pollInterval)
	var sending sync.WaitGroup
	for _, n := range f.Nodes {
		sending.Go(func() { sendUntilKnown(t, n, "after") })
		sending.Go(func() { assert.Equal(t, "11", sendUntilKnown(t, n, "before").result) })
	}
	sending.Wait()
	assert.Equal(t, 1, countStarts(t, f, "before"))
	assert.Equal(t, 1, countStarts(t, f, "after"))
}

// coordinatorExcept returns the first node that reports that it leads, without asking
// the paused one, which would not respond.
func coordinatorExcept(f *fleet.Fleet, paused *fleet.Node) *fleet.Node {
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

// countLeaders returns how many nodes report that they lead.
func countLeaders(f *fleet.Fleet) int {
	n := 0
	for _, node := range f.Nodes {
		if d, err := f.Dump(node); err == nil && d.Groups[f.Deployment.Name].Leading {
			n++
		}
	}
	return n
}

// TestStoreOutage makes an upstream fail during a store outage: requests must succeed,
// operations must run, the upstream must be ejected, and a configuration change must
// be refused.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{})
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{Outage: true}))
	require.NoError(t, f.SetMode("certificados-1", standin.Mode{FailShare: 1}))
	observer := f.Nodes[0]
	require.Eventually(t, func() bool {
		for i, n := range f.Nodes {
			got := send(t, http.MethodGet, "http://"+n.CallerAddress()+"/oficina-01/births/118", fmt.Sprint("m", i), "", "")
			assert.Equal(t, http.StatusOK, got.status, got.body)
		}
		return phaseOf(t, f, observer, "certificados", "certificados-1") == "out"
	}, waitTimeout, time.Millisecond, "the unhealthy upstream is not ejected")
	assert.Equal(t, "10", send(t, http.MethodPost, birthsURL(f.Nodes[1]), "m", "while-out", "newborn").result)
	output, err := f.Eiderctl(0, "account", "set", "montevideo", "oficina-50", "office=50")
	assert.Equal(t, 7, exitCode(err), output)
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{}))
	require.Eventually(t, func() bool {
		output, err = f.Eiderctl(0, "account", "set", "montevideo", "oficina-50", "office=50", "--wait")
		return err == nil
	}, waitTimeout, pollInterval, output)
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

// TestPublishWithLostResponse loses the store's responses to writes that take effect:
// a change published twice with one publish id must take effect once.
func TestPublishWithLostResponse(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{})
	before := sequenceOf(t, f, "oficina-01")
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{LoseWrites: true}))
	output, err := f.Eiderctl(0, "account", "set", "montevideo", "oficina-01", "office=77", "--publish-id", "once")
	require.NoError(t, err, output)
	output, err = f.Eiderctl(1, "account", "set", "montevideo", "oficina-01", "office=77", "--publish-id", "once")
	require.NoError(t, err, output)
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{}))
	assert.Equal(t, before+1, sequenceOf(t, f, "oficina-01"), "not published exactly once")
}

// sequenceOf returns the sequence of an account's bucket in the store.
func sequenceOf(t *testing.T, f *fleet.Fleet, account string) int {
	t.Helper()
	output, err := f.Eiderctl(0, "account", "show", "montevideo", account, "-o", "json")
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

// TestConcurrentPublish publishes twice at once from the same base; exactly one may
// succeed.
func TestConcurrentPublish(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{})
	codes := make([]int, 2)
	var publishing sync.WaitGroup
	for i := range codes {
		publishing.Go(func() {
			_, err := f.Eiderctl(i, "template", "publish", "../deployments/montevideo.template.yaml", "--base", "1")
			codes[i] = exitCode(err)
		})
	}
	publishing.Wait()
	assert.ElementsMatch(t, []int{0, 4}, codes)
}

// TestRollingStop stops and restarts every node in turn under load. A caller that
// cannot connect tries the next node; no request that was sent may fail.
func TestRollingStop(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{})
	stop := make(chan struct{})
	var mu sync.Mutex
	var failures []string
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
					failures = append(failures, err.Error())
				}
				mu.Unlock()
			}
		})
	}
	for _, n := range f.Nodes {
		require.NoError(t, f.Register("eiderfold-montevideo", n.Name, n.PeerAddress(), "sede-central", port.Leaving))
		n.Stop()
		require.NoError(t, f.Restart(t.Context(), n))
		require.Eventually(t, func() bool { return ready(f, n) }, waitTimeout, pollInterval)
	}
	close(stop)
	callers.Wait()
	assert.Empty(t, failures, "of %d requests", sent)
	assert.Greater(t, sent, 100)
}

// ready reports whether a restarted node has its configuration, a lease and the
// upstreams of certificados.
func ready(f *fleet.Fleet, n *fleet.Node) bool {
	d, err := f.Dump(n)
	if err != nil || d.Accounts == 0 {
		return false
	}
	g := d.Groups[f.Deployment.Name]
	return g.LeaseLeft != "0s" && len(g.Services["certificados"].Upstreams) == 6
}

// roundTrip sends one request, and tries the next node if a node refuses the
// connection or responds that it is not ready. The stop must cause no other failure.
func roundTrip(client *http.Client, f *fleet.Fleet, caller, i int) error {
	var last error
	for attempt := range 200 {
		n := f.Nodes[(caller+i+attempt)%len(f.Nodes)]
		r, err := http.NewRequest(http.MethodGet, "http://"+n.CallerAddress()+"/oficina-01/births/118", nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(r)
		if err != nil {
			if opErr := (*net.OpError)(nil); errors.As(err, &opErr) && opErr.Op == "dial" {
				// No connection, so nothing was sent.
				time.Sleep(pollInterval / 5)
				last = err
				continue
			}
			return err
		}
		_ = resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK:
			return nil
		case http.StatusServiceUnavailable:
			// A restarted node responds with this until it has its configuration.
			last = errors.Errorf("%s: result %s", n.Name, resp.Header.Get("Eiderfold-Result"))
			time.Sleep(pollInterval / 5)
		default:
			return errors.Errorf("status %d, result %s", resp.StatusCode, resp.Header.Get("Eiderfold-Result"))
		}
	}
	return last
}

// TestStartDuringStoreOutage restarts a node during a platform outage: it must get its
// configuration, its roster and its coordinator from its seeds.
func TestStartDuringStoreOutage(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{})
	last := f.Nodes[2]
	require.Equal(t, "10", send(t, http.MethodPost, birthsURL(f.Nodes[0]), "m1", "before", "newborn").result)
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{Outage: true}))
	for f.Coordinator() == last { // During the outage the coordinator could not be replaced.
		last = f.Nodes[1]
	}
	last.Kill()
	before, err := f.Dump(f.Coordinator())
	require.NoError(t, err)
	require.NoError(t, f.Restart(t.Context(), last))
	require.Eventually(t, func() bool { return ready(f, last) }, waitTimeout, pollInterval)
	after, err := f.Dump(last)
	require.NoError(t, err)
	assert.Equal(t, before.Sequences, after.Sequences)
	got := send(t, http.MethodGet, "http://"+last.CallerAddress()+"/oficina-01/births/118", "m", "", "")
	assert.Equal(t, http.StatusOK, got.status, got.body)
	// The node may report an unknown outcome until the coordinator has received a
	// message from it; the operation must not run again.
	assert.Equal(t, "11", sendUntilKnown(t, last, "before").result)
	assert.Equal(t, 1, countStarts(t, f, "before"))
}

// TestLeavingUpstream makes an upstream report that it is leaving while the platform
// still lists it as live: every node must take it out of rotation.
func TestLeavingUpstream(t *testing.T) {
	f := startFleet(t, threeNodes(t), fleet.Options{})
	require.NoError(t, f.SetMode("certificados-2", standin.Mode{Leaving: true}))
	require.Eventually(t, func() bool {
		for i, n := range f.Nodes {
			got := send(t, http.MethodGet, "http://"+n.CallerAddress()+"/oficina-01/births/118", fmt.Sprint("m", i), "", "")
			assert.Equal(t, http.StatusOK, got.status, got.body)
		}
		for _, n := range f.Nodes {
			if phaseOf(t, f, n, "certificados", "certificados-2") != "gone" {
				return false
			}
		}
		return true
	}, waitTimeout, time.Millisecond, "a leaving upstream is still in rotation")
}
