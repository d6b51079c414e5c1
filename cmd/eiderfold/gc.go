package main

import (
	"os"
	"runtime/debug"
)

// gcPercent is the default GOGC of `eiderfold mesh`: the heap growth in percent that starts a
// garbage collection. It is below Go's 100, as many nodes run on small instances,
// where memory costs more than the CPU time of more frequent collections.
const gcPercent = 50

// tuneGC applies gcPercent and a soft limit on the process's memory, in bytes, unless GOGC and GOMEMLIMIT are set in
// the environment. Near the limit, freed memory goes back to the system before more is taken.
func tuneGC(memory int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memory)
	}
}
