package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

const columnPadding = 2

// table is tabular output of a command.
type table struct {
	columns []string
	rows    [][]string
}

func newTable(columns ...string) *table { return &table{columns: columns} }

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// printResult writes the result of a command: value as JSON or t as a table,
// depending on the --output option.
func (a *app) printResult(value any, t *table) error {
	if a.options.Format == "json" {
		encoder := json.NewEncoder(a.invocation.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(a.invocation.Stdout, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.columns, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printMessage writes a line to standard error, so that it does not mix with the
// result on standard output.
func (a *app) printMessage(format string, args ...any) {
	fmt.Fprintf(a.invocation.Stderr, format+"\n", args...)
}
