package attempt

import (
	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Triggers of the state machine in charts/attempt.yaml.
const (
	triggerConnected    chart.Trigger = "connected"
	triggerRefused      chart.Trigger = "refused"
	triggerCanceled     chart.Trigger = "canceled"
	triggerAnswered     chart.Trigger = "answered"
	triggerNotProcessed chart.Trigger = "not-processed"
	triggerLost         chart.Trigger = "lost"
	triggerBroken       chart.Trigger = "broken"
	triggerEnded        chart.Trigger = "ended"
	triggerCut          chart.Trigger = "cut"
)

// Final states of the state machine in charts/attempt.yaml.
const (
	stateNotRun   chart.State = "not-run"
	stateComplete chart.State = "complete"
	stateUnknown  chart.State = "unknown"
)

var lifecycleChart = chart.MustParse(charts.Attempt,
	[]chart.State{stateNotRun, stateComplete, stateUnknown},
	[]chart.Trigger{triggerConnected, triggerRefused, triggerCanceled, triggerAnswered, triggerNotProcessed, triggerLost, triggerBroken, triggerEnded, triggerCut},
)

// lifecycle is the state machine of one attempt.
type lifecycle struct {
	stateMachine *chart.Machine
}

func newLifecycle() lifecycle { return lifecycle{stateMachine: lifecycleChart.New()} }

// fire performs the transition for a trigger. A trigger that the current state
// does not accept is a bug in this package and is ignored: an attempt that does not
// reach a final state has the outcome MayHaveRun, which claims nothing false.
func (l lifecycle) fire(t chart.Trigger) {
	_, _ = l.stateMachine.Fire(t)
}

// outcome returns what the current state implies about whether the request ran.
func (l lifecycle) outcome() resultcode.Outcome {
	switch l.stateMachine.State() {
	case stateNotRun:
		return resultcode.NotRun
	case stateComplete:
		return resultcode.Ran
	}
	return resultcode.MayHaveRun
}
