// Command fairness measures how the scheduler shares capacity. It drives the
// scheduler cores of a small fleet with a fake clock, seeded arrivals, engines
// that work token by token and an exchange with lag and loss, and the baselines
// on the same arrivals. It prints tables and writes plots:
//
//	go run ./test/fairness --plot fairness.png
//
// The same seed gives the same figures on every run.
package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the command line.
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

// Names of systems that are referred to.
const (
	optimumName = "optimum"
	fleetName   = "fleet"
	localName   = "local"
)

// candidate is a system to measure. One without lag runs once.
type candidate struct {
	name  string
	lag   bool
	build func(*run) system
}

var candidates = []candidate{
	{optimumName, false, newBaseline(newOptimum)},
	{fleetName, true, newFleet},
	{"reduced", true, newReduced},
	{preemptingFleetName, true, newPreemptingFleet},
	{"preempting", false, newBaseline(newPreempting)},
	{"plain", true, newBaseline(newPlain)},
	{"early", true, newBaseline(newEarly)},
	{localName, false, newBaseline(newLocal)},
	{"fifo", false, newBaseline(func(*run) chooser { return &fifo{} })},
	{"static", false, newBaseline(func(*run) chooser { return static{} })},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	results := measureAll(o)
	compare(results)
	printTable(os.Stdout, results)
	if o.Waits {
		printWaits(os.Stdout, results)
	}
	printAims(os.Stdout, results)
	if o.Plot != "" {
		if err := plotAll(o.Plot, results); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func wanted(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// measureAll returns the results in the order of sizes, patterns and systems.
func measureAll(o options) []result {
	var work []func() result
	for _, s := range sizes {
		for _, p := range patterns(s) {
			if !wanted(s.only, p.name) || !wanted(o.Sizes, s.name) || !wanted(o.Patterns, p.name) {
				continue
			}
			for _, c := range candidates {
				if !wanted(o.Systems, c.name) {
					continue
				}
				work = append(work, runsOf(o, s, p, c)...)
			}
		}
	}
	results := make([]result, len(work))
	var group sync.WaitGroup
	free := make(chan struct{}, max(1, o.Parallel))
	for i, f := range work {
		free <- struct{}{}
		group.Go(func() {
			results[i] = f()
			<-free
		})
	}
	group.Wait()
	return results
}

func runsOf(o options, s size, p pattern, c candidate) []func() result {
	lags := o.Lags
	if !c.lag {
		lags = []float64{1}
	}
	var work []func() result
	for _, lag := range lags {
		work = append(work, func() result {
			r := newRun(s, p, time.Duration(lag*float64(time.Second)), o.Seed, c.build)
			r.play()
			res := measure(r, c.name)
			if !c.lag {
				res.Lag = 0
			}
			return res
		})
	}
	return work
}

// compare sets the utilisation of each run over that of the optimum.
func compare(results []result) {
	for i := range results {
		if best := find(results, results[i], optimumName); best != nil {
			results[i].Utilisation = results[i].Busy / best.Busy
		}
	}
}

// find returns the run of a system without lag on the same arrivals.
func find(results []result, like result, system string) *result {
	for i := range results {
		r := &results[i]
		if r.Size == like.Size && r.Pattern == like.Pattern && r.System == system {
			return r
		}
	}
	return nil
}
