package document

import (
	"fmt"
	"net/netip"
)

// checker collects the problems that concern more than one field.
type checker struct{ problems []Problem }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// unique remembers where each value was first given.
type unique map[string]string

func (c *checker) once(seen unique, value, path string) {
	if value == "" {
		return
	}
	if first, twice := seen[value]; twice {
		c.add(path, "repeats %q of %s", value, first)
		return
	}
	seen[value] = path
}

func crossCheck(d *Document) []Problem {
	var c checker
	c.models(d)
	c.workspaces(d)
	c.operations(d)
	c.targets(d)
	if d.Orders != nil {
		c.orders(d)
	}
	return c.problems
}

func (c *checker) models(d *Document) {
	if d.Kind == Model && len(d.Models) == 0 {
		c.add("models", "a model service needs at least one")
	}
	if d.Kind == Plain && len(d.Models) > 0 {
		c.add("models", "a plain service has none")
	}
	if d.Kind == Plain && d.Preemption {
		c.add("preemption", "belongs to model services only")
	}
	seen := unique{}
	for i, m := range d.Models {
		c.once(seen, m, fmt.Sprintf("models[%d]", i))
	}
}

// workspaces refuses a key that two workspaces share: the key decides whose
// share a request is charged to.
func (c *checker) workspaces(d *Document) {
	names, keys := unique{}, unique{}
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.once(names, string(w.Name), path+".name")
		for j, k := range w.Keys {
			c.once(keys, k, fmt.Sprintf("%s.keys[%d]", path, j))
		}
	}
}

func (c *checker) operations(d *Document) {
	names := unique{}
	for i, o := range d.Operations {
		c.once(names, o.Name, fmt.Sprintf("operations[%d].name", i))
	}
	switch d.Kind {
	case Model:
		c.modelOperations(d.Operations)
	case Plain:
		c.plainOperations(d.Operations)
	}
}

func (c *checker) modelOperations(operations []Operation) {
	defaults := unique{}
	for i, o := range operations {
		path := fmt.Sprintf("operations[%d]", i)
		if o.Method != "" {
			c.add(path+".method", "belongs to plain services only")
		}
		if o.Path != "" {
			c.add(path+".path", "belongs to plain services only")
		}
		if o.Default {
			c.once(defaults, "default", path+".default")
		}
	}
	if len(operations) > 0 && len(defaults) == 0 {
		c.add("operations", "one must be marked as the default")
	}
}

func (c *checker) plainOperations(operations []Operation) {
	if len(operations) == 0 {
		c.add("operations", "a plain service needs at least one")
	}
	shapes := unique{}
	for i, o := range operations {
		path := fmt.Sprintf("operations[%d]", i)
		if o.Default {
			c.add(path+".default", "belongs to model services only")
		}
		if o.Method == "" {
			c.add(path+".method", "is required for a plain service")
		}
		if o.Path == "" {
			c.add(path+".path", "is required for a plain service")
			continue
		}
		p, err := ParsePattern(o.Path)
		if err != nil {
			c.add(path+".path", "%s", err)
			continue
		}
		c.once(shapes, o.Method+" "+p.shape(), path+".path")
	}
}

func (c *checker) targets(d *Document) {
	names, addresses := unique{}, unique{}
	for i, t := range d.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		c.once(names, string(t.Name), path+".name")
		c.once(addresses, t.Address, path+".address")
		if t.Address == "" {
			continue
		}
		if at, err := netip.ParseAddrPort(t.Address); err != nil || at.Port() == 0 {
			c.add(path+".address", "must be IP:port")
		}
	}
}

func (c *checker) orders(d *Document) {
	known := make(map[string]bool, len(d.Targets))
	for _, t := range d.Targets {
		known[string(t.Name)] = true
	}
	models := make(map[string]bool, len(d.Models))
	for _, m := range d.Models {
		models[m] = true
	}
	names := unique{}
	for i, t := range d.Orders.Targets {
		path := fmt.Sprintf("orders.targets[%d]", i)
		c.once(names, string(t.Name), path+".name")
		if t.Name != "" && !known[string(t.Name)] {
			c.add(path+".name", "no target has the name %q", t.Name)
		}
		for j, m := range t.Models {
			if !models[m] {
				c.add(fmt.Sprintf("%s.models[%d]", path, j), "the service has no model %q", m)
			}
		}
	}
}
