package daemon

import (
	"sync"

	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
)

// States and triggers of charts/daemon.yaml that the code refers to.
const (
	StateStarting  chart.State = "starting"
	StateReady     chart.State = "ready"
	StateAnnounced chart.State = "announced"
	StateDraining  chart.State = "draining"
	StateStopped   chart.State = "stopped"

	triggerConfigured      chart.Trigger = "configured"
	triggerStop            chart.Trigger = "stop"
	triggerBalancerNoticed chart.Trigger = "balancer-noticed"
	triggerDrained         chart.Trigger = "drained"
)

// Lifecycle is the state machine of the daemon process. It is safe for concurrent use.
type Lifecycle struct {
	mu      sync.Mutex
	machine *chart.Machine
	ready   chan struct{}
}

var lifecycleChart = chart.MustParse(charts.Daemon,
	[]chart.State{StateStarting, StateReady, StateAnnounced, StateDraining, StateStopped},
	[]chart.Trigger{triggerConfigured, triggerStop, triggerBalancerNoticed, triggerDrained},
)

// NewLifecycle returns a Lifecycle in its initial state.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{machine: lifecycleChart.New(), ready: make(chan struct{})}
}

// State returns the current state.
func (l *Lifecycle) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// applyTrigger applies a trigger and reports whether the current state accepted it.
func (l *Lifecycle) applyTrigger(t chart.Trigger) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, err := l.machine.Fire(t)
	if err != nil {
		return false
	}
	if state == StateReady {
		close(l.ready)
	}
	return true
}

// Ready returns a channel that is closed once the daemon has become ready.
func (l *Lifecycle) Ready() <-chan struct{} { return l.ready }
