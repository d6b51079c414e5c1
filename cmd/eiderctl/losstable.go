package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const (
	// secondLength is the length of the prefix of an RFC 3339 time up to the seconds.
	secondLength = len("2006-01-02T15:04:05")
	// plotWidth is the width of the longest bar, in characters.
	plotWidth = 50
)

// tally holds the number of losses by name (a route or second) and cause.
type tally map[string]map[cause]int

func (t tally) add(name string, c cause) {
	if t[name] == nil {
		t[name] = map[cause]int{}
	}
	t[name][c]++
}

// print writes a table of causes by route, a bar chart by second, and the numbers of
// incomplete and skipped entries.
func (l *losses) print(out io.Writer) error {
	routes, seconds, total := tally{}, tally{}, tally{}
	all := l.attribute()
	for _, o := range all {
		routes.add(o.line.text("route"), o.cause)
		seconds.add(o.line.time[:min(secondLength, len(o.line.time))], o.cause)
		total.add("all", o.cause)
	}
	causes := total.causes("all")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "route\t%s\n", strings.Join(causes, "\t"))
	for _, name := range append(routes.names(), "all") {
		counts := routes[name]
		if name == "all" {
			counts = total["all"]
		}
		fmt.Fprintf(w, "%s\t%s\n", name, cells(counts, causes))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	if err := seconds.plot(out); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%d requests not served in time, of which %d with an incomplete story; %d lines were no log lines\n",
		len(all), total["all"][incomplete], l.skipped)
	return errors.Wrap(err, "write")
}

// names returns the sorted names.
func (t tally) names() []string {
	var names []string
	for name := range t {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// causes returns the causes counted for a name, most frequent first.
func (t tally) causes(name string) []string {
	var list []string
	for c := range t[name] {
		list = append(list, string(c))
	}
	slices.SortFunc(list, func(a, b string) int {
		if d := t[name][cause(b)] - t[name][cause(a)]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	return list
}

func cells(counts map[cause]int, causes []string) string {
	var out []string
	for _, c := range causes {
		out = append(out, fmt.Sprint(counts[cause(c)]))
	}
	return strings.Join(out, "\t")
}

// plot draws a bar for each name, followed by its most frequent cause.
func (t tally) plot(out io.Writer) error {
	most := 1
	for name := range t {
		most = max(most, t.sum(name))
	}
	for _, name := range t.names() {
		n := t.sum(name)
		bar := strings.Repeat("#", (n*plotWidth+most-1)/most)
		if _, err := fmt.Fprintf(out, "\n%s %4d %-*s %s", name, n, plotWidth, bar, t.causes(name)[0]); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintln(out)
	return errors.Wrap(err, "write")
}

func (t tally) sum(name string) int {
	n := 0
	for _, count := range t[name] {
		n += count
	}
	return n
}
