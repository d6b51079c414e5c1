package fleet

import (
	"os"
	"strconv"
	"strings"
)

// Usage returns a process's CPU time in seconds and its resident memory in mebibytes,
// read from /proc; zeros if there is no such process.
func Usage(pid int) (cpu, rss float64) {
	const (
		userField, systemField = 11, 12 // Indexes after the closing bracket of the process name.
		residentField          = 21
		mebibyte               = 1 << 20
		clockTicks             = 100 // Per second, as the kernel reports to user space.
	)
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= residentField {
		return 0, 0
	}
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	pages, _ := strconv.ParseFloat(fields[residentField], 64)
	return (user + system) / clockTicks, pages * float64(os.Getpagesize()) / mebibyte
}
