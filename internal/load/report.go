package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Write prints the rows as a table.
func Write(w io.Writer, rows []*Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STREAM\tCOMPLETE\tWRONG\tCUT\tTOKENS\tFIRST p50\tp95\tp99\tTOTAL p50\tp99\tREFUSED")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Complete, r.Wrong, r.Cut, r.Tokens,
			quantile(r.First, 50), quantile(r.First, 95), quantile(r.First, 99),
			quantile(r.Total, 50), quantile(r.Total, 99), refusals(r.Refused))
	}
	return table.Flush()
}

func quantile(h *hdrhistogram.Histogram, q float64) string {
	d := time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
	return d.Round(100 * time.Microsecond).String()
}

func refusals(byName map[string]int) string {
	if len(byName) == 0 {
		return "-"
	}
	var parts []string
	for name, n := range byName {
		parts = append(parts, fmt.Sprintf("%s:%d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
