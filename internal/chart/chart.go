// Package chart interprets state charts that are written in YAML. A chart that
// names an unknown state, repeats a trigger or holds a state that no path
// reaches is refused when it is loaded.
package chart

import (
	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

// State is the name of one state of a chart.
type State string

// Trigger is the name of one input of a chart.
type Trigger string

// Transition says which state a trigger leads to.
type Transition struct {
	On Trigger `yaml:"on"`
	To State   `yaml:"to"`
}

// StateSpec is one state as the file describes it.
type StateSpec struct {
	Name State `yaml:"name"`
	// Doc tells a reader what holds in this state.
	Doc string `yaml:"doc"`
	// Final marks a state without transitions.
	Final bool `yaml:"final"`
	// Transitions are the triggers that the state accepts.
	Transitions []Transition `yaml:"transitions"`
}

// Chart is a checked state chart. It is immutable and safe to share.
type Chart struct {
	// Name is the chart's own name, for errors.
	Name string `yaml:"chart"`
	// Initial is the state of a new machine.
	Initial State       `yaml:"initial"`
	States  []StateSpec `yaml:"states"`

	next map[State]map[Trigger]State
}

// Parse reads and checks a chart.
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

// MustParse is Parse and Require for a chart that is a part of the program. It
// panics where the chart and the code do not agree, which shows at start.
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
	c.next = make(map[State]map[Trigger]State, len(c.States))
	for _, s := range c.States {
		if _, twice := c.next[s.Name]; twice {
			return merry.Errorf("state %q is defined twice", s.Name)
		}
		if s.Final != (len(s.Transitions) == 0) {
			return merry.Errorf("state %q: final must be set just where no transition leaves", s.Name)
		}
		c.next[s.Name] = make(map[Trigger]State, len(s.Transitions))
	}
	if _, ok := c.next[c.Initial]; !ok {
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
		if _, ok := c.next[t.To]; !ok {
			return merry.Errorf("state %q: trigger %q leads to unknown state %q", s.Name, t.On, t.To)
		}
		if _, twice := c.next[s.Name][t.On]; twice {
			return merry.Errorf("state %q: trigger %q is given twice", s.Name, t.On)
		}
		c.next[s.Name][t.On] = t.To
	}
	return nil
}

func (c *Chart) checkReachable() error {
	seen := map[State]bool{c.Initial: true}
	todo := []State{c.Initial}
	for len(todo) > 0 {
		s := todo[0]
		todo = todo[1:]
		for _, to := range c.next[s] {
			if !seen[to] {
				seen[to] = true
				todo = append(todo, to)
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

// Require returns an error unless the chart has each of the states and some
// state accepts each of the triggers. Code that names states calls it at start.
func (c *Chart) Require(states []State, triggers []Trigger) error {
	for _, s := range states {
		if _, ok := c.next[s]; !ok {
			return merry.Errorf("state chart %s: no state %q", c.Name, s)
		}
	}
	for _, t := range triggers {
		if !c.accepts(t) {
			return merry.Errorf("state chart %s: no trigger %q", c.Name, t)
		}
	}
	return nil
}

func (c *Chart) accepts(t Trigger) bool {
	for _, byTrigger := range c.next {
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

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Can tells whether the present state accepts the trigger.
func (m *Machine) Can(t Trigger) bool {
	_, ok := m.chart.next[m.state][t]
	return ok
}

// Fire follows the trigger and returns the new state. A trigger that the
// present state does not accept is an error and changes nothing.
func (m *Machine) Fire(t Trigger) (State, error) {
	to, ok := m.chart.next[m.state][t]
	if !ok {
		return m.state, merry.Errorf("state chart %s: state %q does not accept %q", m.chart.Name, m.state, t)
	}
	m.state = to
	return to, nil
}
