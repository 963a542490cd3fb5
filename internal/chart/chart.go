// Package chart interprets statecharts written in YAML. Parse rejects a chart that refers to
// an unknown state, repeats a trigger within a state or contains an unreachable state.
package chart

import (
	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

// State is the name of one state of a chart.
type State string

// Trigger is the name of one input of a chart.
type Trigger string

// Transition maps a trigger to the next state.
type Transition struct {
	On Trigger `yaml:"on"`
	To State   `yaml:"to"`
}

// StateSpec is the definition of one state in the file.
type StateSpec struct {
	Name State `yaml:"name"`
	// Doc describes what holds in this state.
	Doc string `yaml:"doc"`
	// Final marks a state without transitions.
	Final bool `yaml:"final"`
	// Transitions are the triggers that the state accepts.
	Transitions []Transition `yaml:"transitions"`
}

// Chart is a validated statechart. It is immutable and safe for concurrent use.
type Chart struct {
	// Name identifies the chart in errors.
	Name string `yaml:"chart"`
	// Initial is the initial state of a machine.
	Initial State       `yaml:"initial"`
	States  []StateSpec `yaml:"states"`

	transitions map[State]map[Trigger]State
}

// Parse parses and validates a chart.
func Parse(text []byte) (*Chart, error) {
	var c Chart
	if err := yaml.UnmarshalWithOptions(text, &c, yaml.Strict()); err != nil {
		return nil, merry.Prepend(err, "state chart")
	}
	if err := c.check(); err != nil {
		return nil, merry.Prependf(err, "state chart %s", c.Name)
	}
	return &c, nil
}

// MustParse parses an embedded chart and checks it with Require. It panics if the chart is
// invalid or does not match the code, so that the mismatch shows at startup.
func MustParse(text []byte, states []State, triggers []Trigger) *Chart {
	c, err := Parse(text)
	if err == nil {
		err = c.Require(states, triggers)
	}
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) check() error {
	c.transitions = make(map[State]map[Trigger]State, len(c.States))
	for _, s := range c.States {
		if _, duplicate := c.transitions[s.Name]; duplicate {
			return merry.Errorf("state %q is defined twice", s.Name)
		}
		if s.Final != (len(s.Transitions) == 0) {
			return merry.Errorf("state %q: final must be set if and only if there are no transitions", s.Name)
		}
		c.transitions[s.Name] = make(map[Trigger]State, len(s.Transitions))
	}
	if _, ok := c.transitions[c.Initial]; !ok {
		return merry.Errorf("initial state %q is unknown", c.Initial)
	}
	for _, s := range c.States {
		if err := c.checkTransitions(s); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkTransitions(s StateSpec) error {
	for _, t := range s.Transitions {
		if _, ok := c.transitions[t.To]; !ok {
			return merry.Errorf("state %q: trigger %q leads to unknown state %q", s.Name, t.On, t.To)
		}
		if _, duplicate := c.transitions[s.Name][t.On]; duplicate {
			return merry.Errorf("state %q: trigger %q is given twice", s.Name, t.On)
		}
		c.transitions[s.Name][t.On] = t.To
	}
	return nil
}

func (c *Chart) checkReachable() error {
	seen := map[State]bool{c.Initial: true}
	pending := []State{c.Initial}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		for _, to := range c.transitions[s] {
			if !seen[to] {
				seen[to] = true
				pending = append(pending, to)
			}
		}
	}
	for _, s := range c.States {
		if !seen[s.Name] {
			return merry.Errorf("state %q cannot be reached", s.Name)
		}
	}
	return nil
}

// Require returns an error unless the chart has all of the states and each of the triggers is
// accepted by some state. Code that refers to states by name calls it at startup.
func (c *Chart) Require(states []State, triggers []Trigger) error {
	for _, s := range states {
		if _, ok := c.transitions[s]; !ok {
			return merry.Errorf("state chart %s: no state %q", c.Name, s)
		}
	}
	for _, t := range triggers {
		if !c.hasTrigger(t) {
			return merry.Errorf("state chart %s: no trigger %q", c.Name, t)
		}
	}
	return nil
}

func (c *Chart) hasTrigger(t Trigger) bool {
	for _, byTrigger := range c.transitions {
		if _, ok := byTrigger[t]; ok {
			return true
		}
	}
	return false
}

// Machine is one instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// New returns a machine in the chart's initial state.
func (c *Chart) New() *Machine { return &Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Accepts reports whether the current state accepts the trigger.
func (m *Machine) Accepts(t Trigger) bool {
	_, ok := m.chart.transitions[m.state][t]
	return ok
}

// Fire follows the trigger and returns the new state. A trigger that the current state does
// not accept is an error and leaves the state unchanged.
func (m *Machine) Fire(t Trigger) (State, error) {
	to, ok := m.chart.transitions[m.state][t]
	if !ok {
		return m.state, merry.Errorf("state chart %s: state %q does not accept %q", m.chart.Name, m.state, t)
	}
	m.state = to
	return to, nil
}
