package document

import (
	"fmt"
	"net/netip"

	"github.com/savorystall/savorystall/internal/ident"
)

// documentChecker collects the problems that concern more than one field.
type documentChecker struct{ problems []Problem }

func (c *documentChecker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// firstPaths maps each value to the path of the field in which it first occurs.
type firstPaths map[string]string

func (c *documentChecker) checkUnique(seen firstPaths, value, path string) {
	if value == "" {
		return
	}
	if firstPath, repeated := seen[value]; repeated {
		c.add(path, "repeats %q of %s", value, firstPath)
		return
	}
	seen[value] = path
}

func checkDocument(d *Document) []Problem {
	var c documentChecker
	c.checkModels(d)
	c.checkWorkspaces(d)
	c.checkOperations(d)
	c.checkTargets(d)
	c.checkWorkspaceTargets(d)
	if d.Orders != nil {
		c.checkOrders(d)
	}
	return c.problems
}

func (c *documentChecker) checkModels(d *Document) {
	if d.Kind == Model && len(d.Models) == 0 {
		c.add("models", "a model service needs at least one")
	}
	if d.Kind == Plain && len(d.Models) > 0 {
		c.add("models", "a plain service has none")
	}
	if d.Kind == Plain && d.Preemption {
		c.add("preemption", "belongs to model services only")
	}
	seen := firstPaths{}
	for i, m := range d.Models {
		c.checkUnique(seen, m, fmt.Sprintf("models[%d]", i))
	}
}

// checkWorkspaces rejects a key that two workspaces have in common, because the
// key determines which workspace's share a request is charged to.
func (c *documentChecker) checkWorkspaces(d *Document) {
	names, keys := firstPaths{}, firstPaths{}
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkUnique(names, string(w.Name), path+".name")
		for j, k := range w.Keys {
			c.checkUnique(keys, k, fmt.Sprintf("%s.keys[%d]", path, j))
		}
	}
}

func (c *documentChecker) checkOperations(d *Document) {
	names := firstPaths{}
	for i, o := range d.Operations {
		c.checkUnique(names, o.Name, fmt.Sprintf("operations[%d].name", i))
	}
	switch d.Kind {
	case Model:
		c.checkModelOperations(d.Operations)
	case Plain:
		c.checkPlainOperations(d.Operations)
	}
}

func (c *documentChecker) checkModelOperations(operations []Operation) {
	defaults := firstPaths{}
	for i, o := range operations {
		path := fmt.Sprintf("operations[%d]", i)
		if o.Method != "" {
			c.add(path+".method", "belongs to plain services only")
		}
		if o.Path != "" {
			c.add(path+".path", "belongs to plain services only")
		}
		if o.Default {
			c.checkUnique(defaults, "default", path+".default")
		}
	}
	if len(operations) > 0 && len(defaults) == 0 {
		c.add("operations", "one must be marked as the default")
	}
}

func (c *documentChecker) checkPlainOperations(operations []Operation) {
	if len(operations) == 0 {
		c.add("operations", "a plain service needs at least one")
	}
	shapes := firstPaths{}
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
		c.checkUnique(shapes, o.Method+" "+p.shape(), path+".path")
	}
}

func (c *documentChecker) checkTargets(d *Document) {
	names, addresses := firstPaths{}, firstPaths{}
	for i, t := range d.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		c.checkUnique(names, string(t.Name), path+".name")
		c.checkUnique(addresses, t.Address, path+".address")
		if t.Address == "" {
			continue
		}
		if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
			c.add(path+".address", "must be IP:port")
		}
	}
}

func (d *Document) targetNames() map[ident.Target]bool {
	known := make(map[ident.Target]bool, len(d.Targets))
	for _, t := range d.Targets {
		known[t.Name] = true
	}
	return known
}

// checkWorkspaceTargets checks the targets to which workspaces are restricted.
func (c *documentChecker) checkWorkspaceTargets(d *Document) {
	known := d.targetNames()
	for i, w := range d.Workspaces {
		names := firstPaths{}
		for j, name := range w.Targets {
			path := fmt.Sprintf("workspaces[%d].targets[%d]", i, j)
			c.checkUnique(names, string(name), path)
			if !known[name] {
				c.add(path, "no target has the name %q", name)
			}
		}
	}
}

func (c *documentChecker) checkOrders(d *Document) {
	known := d.targetNames()
	models := make(map[string]bool, len(d.Models))
	for _, m := range d.Models {
		models[m] = true
	}
	names := firstPaths{}
	for i, t := range d.Orders.Targets {
		path := fmt.Sprintf("orders.targets[%d]", i)
		c.checkUnique(names, string(t.Name), path+".name")
		if t.Name != "" && !known[t.Name] {
			c.add(path+".name", "no target has the name %q", t.Name)
		}
		for j, m := range t.Models {
			if !models[m] {
				c.add(fmt.Sprintf("%s.models[%d]", path, j), "the service has no model %q", m)
			}
		}
	}
}
