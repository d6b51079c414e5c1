package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"
)

const (
	columnGap   = 2
	diffContext = 3
)

// table is the output of a command: rows for the table format, value for JSON and YAML.
type table struct {
	header []string
	rows   [][]string
	value  any
}

// print writes a table in the format of the output flag.
func (o *options) print(w io.Writer, t table) error {
	switch o.output {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(t.value), "print")
	case "yaml":
		text, err := yaml.MarshalWithOptions(t.value, yaml.UseJSONMarshaler())
		if err != nil {
			return errors.Wrap(err, "print")
		}
		_, err = w.Write(text)
		return errors.Wrap(err, "print")
	case "table":
		columns := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
		if len(t.header) > 0 {
			fmt.Fprintln(columns, strings.Join(t.header, "\t")) //nolint:errcheck // Flush reports it.
		}
		for _, row := range t.rows {
			fmt.Fprintln(columns, strings.Join(row, "\t")) //nolint:errcheck // Flush reports it.
		}
		return errors.Wrap(columns.Flush(), "print")
	default:
		return &exitError{errors.Errorf("--output %q is none of table, json, yaml", o.output), exitUsage}
	}
}

// difference returns a unified diff from a to b.
func difference(nameA, a, nameB, b string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(a), FromFile: nameA,
		B: difflib.SplitLines(b), ToFile: nameB,
		Context: diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return text
}
