package main

import (
	"fmt"
	"time"
)

// experiment varies one parameter and fits a line to each cost.
type experiment struct {
	name, title, axis string
	values            []float64
	point             func(value float64) Point
	// measuredX, if set, returns the x value for the fit in place of the value of
	// the parameter.
	measuredX func(Sample) float64
}

const coreExperiment = "core"

// linkSettleTime is the time after which a new link is idle. The scheduler sends
// lists of held grants to a new peer for 8 s, and a link counts as used for 10 s
// after the last message. Idle links are measured only after that.
const linkSettleTime = 25 * time.Second

func experiments() []experiment {
	return []experiment{
		{
			name: "links", axis: "daemons",
			title:  "Idle links: one daemon linked to all others, heartbeats of 1 s, mutual TLS",
			values: []float64{2, 30, 90, 180, 360},
			point: func(v float64) Point {
				return Point{Daemons: int(v), Star: true, TLS: true}
			},
		},
		{
			name: "exchange", axis: "backlogged workspaces",
			title:  "Exchange: 8 daemons, all of them hold waiting requests of all backlogged workspaces, about 2 requests/s a daemon",
			values: []float64{10, 20, 40, 80, 160},
			point: func(v float64) Point {
				return Point{Daemons: 8, TLS: true, Backlogged: int(v), Targets: 16, Rate: 2}
			},
		},
		{
			name: "peers", axis: "daemons",
			title:  "Exchange: 20 backlogged workspaces at every daemon, about 2 requests/s a daemon",
			values: []float64{4, 8, 16, 24, 32},
			point: func(v float64) Point {
				return Point{Daemons: int(v), TLS: true, Backlogged: 20, Targets: 2 * int(v), Rate: 2}
			},
		},
		{
			name: "wide", axis: "backlogged workspaces",
			title:  "Exchange: 32 daemons, all of them hold waiting requests of all backlogged workspaces, about 2 requests/s a daemon",
			values: []float64{10, 20, 40, 80, 160},
			point: func(v float64) Point {
				return Point{Daemons: 32, TLS: true, Backlogged: int(v), Targets: 64, Rate: 2}
			},
		},
		{
			name: "requests", axis: "requests/s a daemon",
			title:  "Grants and releases: 8 daemons, 20 backlogged workspaces",
			values: []float64{10, 25, 50, 100, 200},
			point: func(v float64) Point {
				return Point{Daemons: 8, TLS: true, Backlogged: 20, Targets: 16, Rate: v}
			},
			measuredX: func(s Sample) float64 { return s.Requests },
		},
		{
			name: "targets", axis: "targets",
			title:  "Targets: 8 daemons, 20 backlogged workspaces, about 2 requests/s a daemon, at least one slot a target",
			values: []float64{16, 100, 200, 400, 800},
			point: func(v float64) Point {
				return Point{Daemons: 8, TLS: true, Backlogged: 20, Targets: int(v), Rate: 2}
			},
		},
		{
			name: "changes", axis: "changes/s",
			title:  "Configuration: one daemon linked to 59 others that all announce each new revision",
			values: []float64{0, 2, 5, 10, 20},
			point: func(v float64) Point {
				return Point{Daemons: 60, Star: true, TLS: true, Changes: v}
			},
		},
	}
}

// cost is a measured quantity, which is one column of the result table.
type cost struct {
	name, unit string
	value      func(Sample) float64
}

var costs = []cost{
	{"control sent", "B/s", func(s Sample) float64 { return s.Sent }},
	{"of it frames", "B/s", func(s Sample) float64 { return s.Payload }},
	{"control received", "B/s", func(s Sample) float64 { return s.Received }},
	{"processor", "% of a core", func(s Sample) float64 { return s.CPU * 100 }},
	{"memory (RSS)", "MB", func(s Sample) float64 { return s.RSS }},
	{"live heap and stacks", "MB", func(s Sample) float64 { return s.Heap }},
}

// fitX returns the x value of a sample in the fit.
func (e experiment) fitX(setting float64, s Sample) float64 {
	if e.measuredX != nil {
		return e.measuredX(s)
	}
	return setting
}

func (e experiment) run(o options) error {
	fmt.Printf("\n### %s\n\n", e.title)
	fmt.Printf("| %s | requests/s | links |", e.axis)
	for _, c := range costs {
		fmt.Printf(" %s, %s |", c.name, c.unit)
	}
	fmt.Print("\n|---|---|---|---|---|---|---|---|---|\n")
	var xs []float64
	var samples []Sample
	for _, v := range e.values {
		for range o.Repeat {
			p := e.point(v)
			p.Window, p.Warm, p.Exchange, p.ReduceAbove = o.Window, o.Warm, o.Exchange, o.ReduceAbove
			if p.Star {
				p.Warm = max(p.Warm, linkSettleTime)
			}
			s, err := measurePoint(p)
			if err != nil {
				return err
			}
			xs, samples = append(xs, e.fitX(v, s)), append(samples, s)
			fmt.Printf("| %g | %.1f | %d |", v, s.Requests, s.Links)
			for _, c := range costs {
				fmt.Printf(" %.2f |", c.value(s))
			}
			fmt.Println()
		}
	}
	fmt.Printf("\n| cost | fixed | per %s | residual (rms) | R² |\n|---|---|---|---|---|\n", e.axis)
	for _, c := range costs {
		ys := make([]float64, len(samples))
		for i, s := range samples {
			ys[i] = c.value(s)
		}
		l := fit(xs, ys)
		fmt.Printf("| %s, %s | %.3g | %.4g ± %.2g | %.2g | %.3f |\n", c.name, c.unit, l.intercept, l.slope, l.slopeStdErr, l.rms, l.r2)
	}
	return nil
}
