package main

import (
	"os"
	"runtime/debug"
)

// gcPercent is the default GOGC of `eiderfold mesh`: the heap growth in percent that starts a
// garbage collection. It is below Go's 100, as many nodes run on small instances,
// where memory costs more than the CPU time of more frequent collections.
const gcPercent = 50

// tuneGC applies gcPercent, unless GOGC is set in the environment.
func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
