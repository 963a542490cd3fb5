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

// WriteTable writes the results as a table with one row per stream.
func WriteTable(w io.Writer, results []*StreamResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STREAM\tCOMPLETE\tWRONG\tCUT\tTOKENS\tFIRST p50\tp95\tp99\tTOTAL p50\tp99\tREFUSED")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", result.Name, result.Complete, result.Wrong, result.Cut, result.Tokens,
			quantile(result.First, 50), quantile(result.First, 95), quantile(result.First, 99),
			quantile(result.Total, 50), quantile(result.Total, 99), formatRejections(result.Refused))
	}
	return table.Flush()
}

func quantile(h *hdrhistogram.Histogram, q float64) string {
	d := time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
	return d.Round(100 * time.Microsecond).String()
}

func formatRejections(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
