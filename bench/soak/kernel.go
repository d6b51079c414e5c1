package soak

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

// watchedCounters are those of the kernel's that tell why a connection did not come up: what
// listeners dropped, and dials that were sent again.
var watchedCounters = []string{"ListenDrops", "ListenOverflows", "TCPSynRetrans", "TCPTimeWaitOverflow"}

// kernelCounters are values of watchedCounters.
type kernelCounters map[string]int64

// readKernelCounters returns the counters as they are now; none where the system does not
// have them.
func readKernelCounters() kernelCounters {
	text, err := os.ReadFile("/proc/net/netstat")
	if err != nil {
		return nil
	}
	return parseKernelCounters(string(text))
}

// parseKernelCounters reads pairs of lines, the first of which names what the second holds.
func parseKernelCounters(text string) kernelCounters {
	out := kernelCounters{}
	lines := strings.Split(text, "\n")
	for i := 0; i+1 < len(lines); i += 2 {
		names, values := strings.Fields(lines[i]), strings.Fields(lines[i+1])
		for at, name := range names {
			if at >= len(values) || !slices.Contains(watchedCounters, name) {
				continue
			}
			if n, err := strconv.ParseInt(values[at], 10, 64); err == nil {
				out[name] = n
			}
		}
	}
	return out
}

// since tells by how much the counters have grown.
func (k kernelCounters) since() string {
	now := readKernelCounters()
	var out []string
	for _, name := range watchedCounters {
		out = append(out, fmt.Sprintf("%s %d", name, now[name]-k[name]))
	}
	return strings.Join(out, ", ")
}
