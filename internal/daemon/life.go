package daemon

import (
	"sync"

	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
)

// States and triggers of charts/daemon.yaml that the code names.
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

// Life is the state of the daemon process. It is safe for concurrent use.
type Life struct {
	mu      sync.Mutex
	machine *chart.Machine
	ready   chan struct{}
}

var lifeChart = chart.MustParse(charts.Daemon,
	[]chart.State{StateStarting, StateReady, StateAnnounced, StateDraining, StateStopped},
	[]chart.Trigger{triggerConfigured, triggerStop, triggerBalancerNoticed, triggerDrained},
)

// NewLife returns a Life in its initial state.
func NewLife() *Life { return &Life{machine: lifeChart.New(), ready: make(chan struct{})} }

// State returns the present state.
func (l *Life) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// fire follows a trigger and tells whether the present state accepted it.
func (l *Life) fire(t chart.Trigger) bool {
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

// Ready is closed once the daemon has been ready.
func (l *Life) Ready() <-chan struct{} { return l.ready }
