package soak

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

// watchedCounters are the kernel counters that explain failed connections: drops by
// listeners and retransmitted SYNs.
var watchedCounters = []string{"ListenDrops", "ListenOverflows", "TCPSynRetrans", "TCPTimeWaitOverflow"}

// kernelCounters maps the names of watchedCounters to their values.
type kernelCounters map[string]int64

// readKernelCounters returns the current values, or nil if the system does not provide
// them.
func readKernelCounters() kernelCounters {
	text, err := os.ReadFile("/proc/net/netstat")
	if err != nil {
		return nil
	}
	return parseKernelCounters(string(text))
}

// parseKernelCounters parses the format of /proc/net/netstat: pairs of lines, the first
// with the names and the second with the values.
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

// since describes how much each counter has grown.
func (k kernelCounters) since() string {
	now := readKernelCounters()
	var out []string
	for _, name := range watchedCounters {
		out = append(out, fmt.Sprintf("%s %d", name, now[name]-k[name]))
	}
	return strings.Join(out, ", ")
}
