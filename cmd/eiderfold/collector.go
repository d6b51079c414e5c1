package main

import (
	"os"
	"runtime/debug"
)

// collectorPercent is how much the heap of a node may grow, in percent of what is in
// use, before it is collected. Instances are small and nodes many: memory is dearer
// than the processor time of collecting twice as often.
const collectorPercent = 50

// tuneCollector sets it, unless whoever starts the process has.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}
