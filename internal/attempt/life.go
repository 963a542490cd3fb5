package attempt

import (
	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Triggers of charts/attempt.yaml.
const (
	onConnected    chart.Trigger = "connected"
	onRefused      chart.Trigger = "refused"
	onCanceled     chart.Trigger = "canceled"
	onAnswered     chart.Trigger = "answered"
	onNotProcessed chart.Trigger = "not-processed"
	onLost         chart.Trigger = "lost"
	onBroken       chart.Trigger = "broken"
	onEnded        chart.Trigger = "ended"
	onCut          chart.Trigger = "cut"
)

// Final states of charts/attempt.yaml.
const (
	stateNotRun   chart.State = "not-run"
	stateComplete chart.State = "complete"
	stateUnknown  chart.State = "unknown"
)

var lifeChart = chart.MustParse(charts.Attempt,
	[]chart.State{stateNotRun, stateComplete, stateUnknown},
	[]chart.Trigger{onConnected, onRefused, onCanceled, onAnswered, onNotProcessed, onLost, onBroken, onEnded, onCut},
)

// life follows one attempt through its state chart.
type life struct {
	machine *chart.Machine
}

func newLife() life { return life{machine: lifeChart.New()} }

// fire follows a trigger. A trigger that the state does not accept is a defect
// of this package; the outcome then stays open, which claims nothing false.
func (l life) fire(t chart.Trigger) {
	_, _ = l.machine.Fire(t)
}

// outcome says what the state claims about the run.
func (l life) outcome() resultcode.Outcome {
	switch l.machine.State() {
	case stateNotRun:
		return resultcode.NotRun
	case stateComplete:
		return resultcode.Ran
	}
	return resultcode.MayHaveRun
}
