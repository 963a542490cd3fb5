// Command fairness measures how the scheduler shares capacity. It runs the scheduler
// cores of a small fleet in a simulation with a fake clock, seeded arrivals, engines
// that generate token by token, and an exchange with lag and loss. Baseline
// schedulers run on the same arrivals for comparison. It prints tables and writes
// plots:
//
//	go run ./test/fairness --plot fairness.png
//
// The same seed gives the same results on every run.
package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
)

// options holds the command-line options.
type options struct {
	Plot     string    `long:"plot" description:"write a plot of the gaps to this PNG file"`
	Sizes    []string  `long:"size" description:"site to measure (default: all)"`
	Patterns []string  `long:"pattern" description:"load pattern to measure (default: all)"`
	Systems  []string  `long:"system" description:"system to measure (default: all)"`
	Lags     []float64 `long:"lag" description:"exchange lag in seconds" default:"0.5" default:"1" default:"4" default:"15"`
	Seed     uint64    `long:"seed" description:"seed of the arrivals" default:"1"`
	Parallel int       `long:"parallel" description:"runs at the same time" default:"4"`
	Waits    bool      `long:"waits" description:"print the waits of each workspace"`
}

// Names of systems that other code refers to.
const (
	optimumName = "optimum"
	fleetName   = "fleet"
	localName   = "local"
)

// systemSpec describes a system to measure. A system that does not use the exchange
// lag runs only once per pattern.
type systemSpec struct {
	name      string
	usesLag   bool
	newSystem func(*run) system
	// ignoresRestrictions is set if the system does not support workspaces that are
	// restricted to a part of the engines.
	ignoresRestrictions bool
}

var systemSpecs = []systemSpec{
	{name: optimumName, newSystem: newOptimumWithFaults},
	{name: fleetName, usesLag: true, newSystem: newFleet},
	{name: "reduced", usesLag: true, newSystem: newReducedFleet},
	{name: preemptingFleetName, usesLag: true, newSystem: newPreemptingFleet},
	{name: "preempting", newSystem: newBaseline(newPreemptiveOptimum), ignoresRestrictions: true},
	{name: "plain", usesLag: true, newSystem: newBaseline(newTokenCounters), ignoresRestrictions: true},
	{name: "early", usesLag: true, newSystem: newBaseline(newEarlyBinding), ignoresRestrictions: true},
	{name: localName, newSystem: newBaseline(newLocalFairQueue)},
	{name: "fifo", newSystem: newBaseline(func(*run) chooser { return &fifo{} })},
	{name: "static", newSystem: newBaseline(func(*run) chooser { return staticPartition{} })},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	results := runAll(o)
	setUtilization(results)
	printTable(os.Stdout, results)
	if o.Waits {
		printWaits(os.Stdout, results)
	}
	printGoals(os.Stdout, results)
	if o.Plot != "" {
		if err := plotAll(o.Plot, results); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func wanted(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }

// runAll runs the selected simulations and returns the results in the order of
// sites, patterns and systems.
func runAll(o options) []result {
	var work []func() result
	for _, s := range sites {
		for _, p := range patterns(s) {
			if !wanted(s.onlyPatterns, p.name) || !wanted(o.Sizes, s.name) || !wanted(o.Patterns, p.name) {
				continue
			}
			for _, c := range systemSpecs {
				if !wanted(o.Systems, c.name) || p.hasRestrictions && c.ignoresRestrictions {
					continue
				}
				work = append(work, newRuns(o, s, p, c)...)
			}
		}
	}
	results := make([]result, len(work))
	var group sync.WaitGroup
	semaphore := make(chan struct{}, max(1, o.Parallel))
	for i, f := range work {
		semaphore <- struct{}{}
		group.Go(func() {
			results[i] = f()
			<-semaphore
		})
	}
	group.Wait()
	return results
}

func newRuns(o options, s site, p pattern, c systemSpec) []func() result {
	lags := o.Lags
	if !c.usesLag {
		lags = []float64{1}
	}
	var work []func() result
	for _, lag := range lags {
		work = append(work, func() result {
			r := newRun(s, p, time.Duration(lag*float64(time.Second)), o.Seed, c.newSystem)
			r.simulate()
			res := measure(r, c.name)
			if !c.usesLag {
				res.Lag = 0
			}
			return res
		})
	}
	return work
}

// setUtilization sets the utilization of each run relative to that of the optimum.
func setUtilization(results []result) {
	for i := range results {
		if best := findOnSameArrivals(results, results[i], optimumName); best != nil {
			results[i].Utilization = results[i].BusySeconds / best.BusySeconds
		}
	}
}

// findOnSameArrivals returns the first result of a system with the same site and
// pattern as the reference, regardless of the lag.
func findOnSameArrivals(results []result, reference result, system string) *result {
	for i := range results {
		r := &results[i]
		if r.Site == reference.Site && r.Pattern == reference.Pattern && r.System == system {
			return r
		}
	}
	return nil
}
