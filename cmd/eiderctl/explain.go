package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// maxLogLine is the maximum length of a log line in bytes; nodes write shorter lines.
const maxLogLine = 1 << 20

// logLine is a parsed line of a node's log: the common fields, and the rest.
type logLine struct {
	time    string // RFC 3339 with nanoseconds in UTC, so it sorts as text.
	node    string
	message string
	rest    map[string]any
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID [FILE...]",
		Short:   "Print the log lines of a request from any number of nodes, in order of time",
		Long:    "Reads structured logs of nodes from files, or from standard input, and prints every\nline about the request with this id, from all nodes.",
		Example: "  eiderctl explain 9c41d07be2a35f68 node-*.log\n  journalctl -u eiderfold | eiderctl explain 9c41d07be2a35f68",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := collectLines(args[0], args[1:], c.InOrStdin())
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Errorf("no line about %s; at level info, routine responses are counted but not logged", args[0])
			}
			return printLines(c.OutOrStdout(), lines)
		},
	}
}

func collectLines(id string, files []string, in io.Reader) ([]logLine, error) {
	var lines []logLine
	err := eachLine(files, in, func(text string) {
		if l, ok := parseLine(text); ok && l.rest["attempt"] == id {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// eachLine calls handle for every line of the files, or of in if there are no files.
func eachLine(files []string, in io.Reader, handle func(text string)) error {
	if len(files) == 0 {
		return scanLines(in, handle)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		err = scanLines(f, handle)
		_ = f.Close() // Closing a file opened for reading loses no data.
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func scanLines(in io.Reader, handle func(text string)) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		handle(s.Text())
	}
	return errors.Wrap(s.Err(), "read")
}

// parseLine parses a JSON line. It skips the prefix that a log collector may add.
func parseLine(text string) (logLine, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		return logLine{}, false
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	l := logLine{time: take("ts"), node: take("process_name"), message: take("msg"), rest: fields}
	delete(fields, "level")
	return l, l.message != ""
}

func printLines(out io.Writer, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range lines {
		var names []string
		for name := range l.rest {
			names = append(names, name)
		}
		slices.Sort(names)
		var fields strings.Builder
		for _, name := range names {
			fmt.Fprintf(&fields, " %s=%v", name, l.rest[name])
		}
		if _, err := fmt.Fprintf(out, "%s %s: %s%s\n", l.time, l.node, l.message, fields.String()); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}
