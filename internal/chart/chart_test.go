package chart_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	for _, text := range [][]byte{charts.Daemon, charts.Target, charts.Attempt, charts.Member} {
		_, err := chart.Parse(text)
		is.New(t).NoErr(err)
	}
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown target state":  {"chart: x\ninitial: a\nstates:\n  - name: a\n    transitions: [{on: t, to: b}]\n", "unknown state"},
		"unknown initial":       {"chart: x\ninitial: z\nstates:\n  - name: a\n    final: true\n", "initial state"},
		"unreachable":           {"chart: x\ninitial: a\nstates:\n  - {name: a, final: true}\n  - {name: b, final: true}\n", "cannot be reached"},
		"trigger twice":         {"chart: x\ninitial: a\nstates:\n  - name: a\n    transitions: [{on: t, to: a}, {on: t, to: a}]\n", "given twice"},
		"state twice":           {"chart: x\ninitial: a\nstates:\n  - {name: a, final: true}\n  - {name: a, final: true}\n", "defined twice"},
		"final with transition": {"chart: x\ninitial: a\nstates:\n  - name: a\n    final: true\n    transitions: [{on: t, to: a}]\n", "final must be set"},
		"unknown field":         {"chart: x\ninitial: a\ncolour: red\nstates:\n  - {name: a, final: true}\n", "colour"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := chart.Parse([]byte(c.text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error names the cause
		})
	}
}

func TestMachineRejectsUnacceptedTrigger(t *testing.T) {
	is := is.New(t)
	c, err := chart.Parse(charts.Daemon)
	is.NoErr(err)
	m := c.New()
	_, err = m.Fire("drained")
	is.True(err != nil)
	is.Equal(m.State(), chart.State("starting"))
	is.NoErr(c.Require([]chart.State{"ready"}, []chart.Trigger{"stop"}))
	is.True(c.Require([]chart.State{"ready"}, []chart.Trigger{"fly"}) != nil)
}
