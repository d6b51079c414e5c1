package core

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOperationsRunOnce checks that no operation starts twice, over random schedules.
func TestOperationsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(noFault)
		number := rapid.IntRange(0, 1<<20)
		for range modelSteps {
			m.step(func(n int) int { return number.Draw(t, "choice") % n })
			if m.violation != "" {
				t.Fatal(m.violation)
			}
		}
	})
}

// schedules can be raised for a longer search: go test ./core -schedules 3000000
var schedules = flag.Uint64("schedules", 30_000, "schedules that the operations' model runs")

// TestOperationsRunOnceLong does the same with many more schedules from fixed seeds.
func TestOperationsRunOnceLong(t *testing.T) {
	for seed := range *schedules {
		require.Empty(t, explore(noFault, seed), "seed %d", seed)
	}
}

// TestOperationsRegressions runs schedules in which an operation once started twice.
func TestOperationsRegressions(t *testing.T) {
	for _, seed := range []uint64{
		417642, // A delayed Witness of an earlier attempt replaced that of the started one.
	} {
		assert.Empty(t, explore(noFault, seed), "seed %d", seed)
	}
}

// explore runs one schedule and returns the violation, or "".
func explore(p fault, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	m := newModel(p)
	for range 2 * modelSteps {
		m.step(random.IntN)
		if m.violation != "" {
			return m.violation
		}
	}
	return ""
}

// TestModelFindsInjectedFaults checks that the model detects each injected fault.
func TestModelFindsInjectedFaults(t *testing.T) {
	const maxSeeds = 30_000
	for _, p := range []struct {
		fault fault
		from  uint64 // First seed to try; rare violations need a particular range.
	}{{noPromise, 30_000}, {noWitness, 0}, {noWaiting, 0}, {noSecondCopy, 490_000}, {handToCoordinator, 0}, {restartUncertain, 0}} {
		found := false
		for seed := p.from; seed < p.from+maxSeeds && !found; seed++ {
			found = explore(p.fault, seed) != ""
		}
		assert.True(t, found, "injected fault %d was not found", p.fault)
	}
}

// TestModelMakesProgress checks that operations do start in the model, so that the
// other tests do not pass vacuously.
func TestModelMakesProgress(t *testing.T) {
	const runs = 1000
	started := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 1))
		m := newModel(noFault)
		for range 2 * modelSteps {
			m.step(random.IntN)
		}
		started += m.starts
	}
	assert.Greater(t, started, runs)
}
