package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table is output in rows and columns.
type table struct {
	columns []string
	rows    [][]string
}

func newTable(columns ...string) *table { return &table{columns: columns} }

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes a value as JSON or the table that shows it.
func (a *app) print(value any, t *table) error {
	if a.options.Format == "json" {
		encoder := json.NewEncoder(a.system.Output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(a.system.Output, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.columns, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// say writes a line for people that is no part of the output.
func (a *app) say(format string, args ...any) {
	fmt.Fprintf(a.system.Errors, format+"\n", args...)
}
