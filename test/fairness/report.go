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
	fmt.Fprintln(t, "site\tpattern\tsystem\tlag s\tsteady\tgap tokens\tgap s\tleast share\tstarved\tutilisation\tbytes/s\tquestion p99\tstops\tlost\tin time\trefused")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%.0f\t%.3f\t%s\t%.4f\t%.0f\t%s\t%d\t%.0f\t%.0f\t%d\n",
			r.Site, r.Pattern, r.System, lagText(r.Lag), r.SteadyCount, r.GapTokens, r.GapSeconds, r.shareText(),
			r.Utilization, r.ControlBytesPerSecond, r.QuestionFirstToken.Round(time.Millisecond), r.Preemptions, r.RecomputeSeconds, r.InTimeSeconds, r.Refused)
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
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.Site, r.Pattern, r.System, lagText(r.Lag),
				x.Workspace, x.Count, roundWait(x.P50), roundWait(x.P95), roundWait(x.P99))
		}
	}
}

func roundWait(d time.Duration) time.Duration { return d.Round(5 * time.Millisecond) }

// Fairness and performance goals.
const (
	maxGapAtLag1             = 0.25 // seconds of the whole fleet's capacity, at a lag of 1 s
	maxGapAtLag4             = 0.5  // the same at 4 s
	maxGapOverOptimum        = 1.5
	minLocalOverGap          = 5.0
	minUtilization           = 0.98
	maxQuestionRatio         = 2.0 // multiple of the time to first token without the hot workspace
	maxControlBytesPerSecond = 4096
)

// printGoals lists for each run of the fleet whether it met the goals.
func printGoals(w io.Writer, results []result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "\nsite\tpattern\tsystem\tlag s\tgap\tgap/optimum\tlocal/gap\tutilisation\tbytes\tquestion")
	for _, r := range results {
		if r.System != fleetName && r.System != preemptingFleetName {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Site, r.Pattern, r.System, lagText(r.Lag),
			gapText(r), optimumRatioText(results, r), localRatioText(results, r),
			goalText(r.Utilization, r.Utilization >= minUtilization), goalText(r.ControlBytesPerSecond, r.ControlBytesPerSecond <= maxControlBytesPerSecond),
			questionRatioText(results, r))
	}
}

func goalText(x float64, reached bool) string {
	if reached {
		return fmt.Sprintf("%.3g", x)
	}
	return fmt.Sprintf("%.3g MISSED", x)
}

func gapText(r result) string {
	switch r.Lag {
	case time.Second:
		return goalText(r.GapSeconds, r.GapSeconds <= maxGapAtLag1)
	case 4 * time.Second:
		return goalText(r.GapSeconds, r.GapSeconds <= maxGapAtLag4)
	}
	return fmt.Sprintf("%.3g", r.GapSeconds)
}

func optimumRatioText(results []result, r result) string {
	best := findOnSameArrivals(results, r, optimumName)
	if best == nil || best.GapSeconds == 0 || r.SteadyCount < 2 {
		return "-"
	}
	x := r.GapSeconds / best.GapSeconds
	return goalText(x, x <= maxGapOverOptimum)
}

func localRatioText(results []result, r result) string {
	other := findOnSameArrivals(results, r, localName)
	if other == nil || other.SteadyCount < 2 || r.GapSeconds == 0 {
		return "-"
	}
	x := other.GapSeconds / r.GapSeconds
	return goalText(x, x >= minLocalOverGap)
}

// questionRatioText compares the time to first token of questions with and without
// the hot workspace.
func questionRatioText(results []result, r result) string {
	if r.Pattern != "hot" {
		return "-"
	}
	for _, other := range results {
		if other.Site == r.Site && other.System == r.System && other.Lag == r.Lag && other.Pattern == "hot-alone" {
			x := r.QuestionFirstToken.Seconds() / other.QuestionFirstToken.Seconds()
			return goalText(x, x <= maxQuestionRatio)
		}
	}
	return "-"
}
