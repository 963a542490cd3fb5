package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

func printTable(w io.Writer, results []result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "site\tpattern\tsystem\tlag s\tsteady\tgap tokens\tgap s\tutilisation\tbytes/s\tquestion p99\tstops\tlost\tin time\trefused")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%.0f\t%.3f\t%.4f\t%.0f\t%s\t%d\t%.0f\t%.0f\t%d\n",
			r.Size, r.Pattern, r.System, lagText(r.Lag), r.Steady, r.GapTokens, r.GapSeconds,
			r.Utilisation, r.Bytes, r.AskFirst.Round(time.Millisecond), r.Stops, r.Lost, r.InTime, r.Refused)
	}
}

func lagText(lag time.Duration) string {
	if lag == 0 {
		return "-"
	}
	return fmt.Sprintf("%g", lag.Seconds())
}

func printWaits(w io.Writer, results []result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "\nsite\tpattern\tsystem\tlag s\tworkspace\trequests\twait p50\tp95\tp99")
	for _, r := range results {
		for _, x := range r.Waits {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.Size, r.Pattern, r.System, lagText(r.Lag),
				x.Workspace, x.Count, round(x.P50), round(x.P95), round(x.P99))
		}
	}
}

func round(d time.Duration) time.Duration { return d.Round(5 * time.Millisecond) }

// What is to be reached.
const (
	aimGap1        = 0.25 // seconds of the fleet's service at a lag of 1 s
	aimGap4        = 0.5  // the same at 4 s
	aimOverOptimum = 1.5
	aimUnderLocal  = 5.0
	aimUtilisation = 0.98
	aimQuestion    = 2.0 // times the wait without the hot workspace
	aimBytes       = 4096
)

// printAims lists for each run of the fleet whether it reached the aims.
func printAims(w io.Writer, results []result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "\nsite\tpattern\tsystem\tlag s\tgap\tgap/optimum\tlocal/gap\tutilisation\tbytes\tquestion")
	for _, r := range results {
		if r.System != fleetName && r.System != preemptingFleetName {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Size, r.Pattern, r.System, lagText(r.Lag),
			gapVerdict(r), ratioVerdict(results, r), localVerdict(results, r),
			verdict(r.Utilisation, r.Utilisation >= aimUtilisation), verdict(r.Bytes, r.Bytes <= aimBytes),
			questionVerdict(results, r))
	}
}

func verdict(x float64, reached bool) string {
	if reached {
		return fmt.Sprintf("%.3g", x)
	}
	return fmt.Sprintf("%.3g MISSED", x)
}

func gapVerdict(r result) string {
	switch r.Lag {
	case time.Second:
		return verdict(r.GapSeconds, r.GapSeconds <= aimGap1)
	case 4 * time.Second:
		return verdict(r.GapSeconds, r.GapSeconds <= aimGap4)
	}
	return fmt.Sprintf("%.3g", r.GapSeconds)
}

func ratioVerdict(results []result, r result) string {
	best := find(results, r, optimumName)
	if best == nil || best.GapSeconds == 0 || r.Steady < 2 {
		return "-"
	}
	x := r.GapSeconds / best.GapSeconds
	return verdict(x, x <= aimOverOptimum)
}

func localVerdict(results []result, r result) string {
	other := find(results, r, localName)
	if other == nil || other.Steady < 2 || r.GapSeconds == 0 {
		return "-"
	}
	x := other.GapSeconds / r.GapSeconds
	return verdict(x, x >= aimUnderLocal)
}

// questionVerdict compares a question's wait for its first token under the hot
// workspace with that without it.
func questionVerdict(results []result, r result) string {
	if r.Pattern != "hot" {
		return "-"
	}
	for _, other := range results {
		if other.Size == r.Size && other.System == r.System && other.Lag == r.Lag && other.Pattern == "hot-alone" {
			x := r.AskFirst.Seconds() / other.AskFirst.Seconds()
			return verdict(x, x <= aimQuestion)
		}
	}
	return "-"
}
