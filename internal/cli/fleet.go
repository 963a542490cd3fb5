package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
)

// serviceFilter restricts a list to one service, if one is given.
type serviceFilter struct {
	Service ident.Service `long:"service" value-name:"SERVICE" description:"only this service"`
}

func (f serviceFilter) matches(name ident.Service) bool { return f.Service == "" || f.Service == name }

type workspaceList struct {
	noopCommander
	serviceFilter
}

// workspaceRow aggregates one workspace of a service over all daemons.
type workspaceRow struct {
	Service   ident.Service   `json:"service"`
	Workspace ident.Workspace `json:"workspace"`
	Weight    float64         `json:"weight"`
	// Waiting is indexed by class: interactive, standard, batch.
	Waiting [3]int  `json:"waiting"`
	Running int     `json:"running"`
	Served  float64 `json:"served"`
	// Lead is the maximum over the daemons.
	Lead float64 `json:"lead"`
}

func (c *workspaceList) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	statuses, err := a.statuses(ctx)
	if err != nil {
		return err
	}
	rows := aggregateWorkspaces(append(statuses, a.configuredWorkspaces(ctx)), c.serviceFilter)
	t := newTable("SERVICE", "WORKSPACE", "WEIGHT", "INTERACTIVE", "STANDARD", "BATCH", "RUNNING", "SERVED", "LEAD")
	for _, r := range rows {
		t.addRow(r.Service, r.Workspace, r.Weight, r.Waiting[0], r.Waiting[1], r.Waiting[2], r.Running, r.Served, r.Lead)
	}
	return a.printResult(rows, t)
}

// configuredWorkspaces returns the workspaces of all documents as empty queues, so
// that the list includes idle ones. Without a platform URL it is empty.
func (a *app) configuredWorkspaces(ctx context.Context) admin.Status {
	var status admin.Status
	if a.options.Platform == "" {
		return status
	}
	records, err := a.records(ctx)
	if err != nil {
		a.printMessage("idle workspaces are not listed: %v", err)
	}
	for _, r := range records {
		d, err := document.Parse([]byte(r.Text))
		if r.Deleted || err != nil {
			continue
		}
		for _, w := range d.Workspaces {
			status.Queues = append(status.Queues, admin.Queue{Service: d.Service, Workspace: w.Name, Weight: w.Weight})
		}
	}
	return status
}

func aggregateWorkspaces(statuses []admin.Status, filter serviceFilter) []workspaceRow {
	type key struct {
		service   ident.Service
		workspace ident.Workspace
	}
	sums := map[key]workspaceRow{}
	for _, status := range statuses {
		for _, q := range status.Queues {
			if !filter.matches(q.Service) {
				continue
			}
			k := key{q.Service, q.Workspace}
			sums[k] = sums[k].add(q)
		}
	}
	rows := make([]workspaceRow, 0, len(sums))
	for _, row := range sums {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b workspaceRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	return rows
}

func (r workspaceRow) add(q admin.Queue) workspaceRow {
	r.Service, r.Workspace, r.Weight = q.Service, q.Workspace, q.Weight
	for class, waiting := range q.Waiting {
		r.Waiting[class] += waiting
	}
	r.Running += q.Running
	r.Served += q.Served
	r.Lead = max(r.Lead, q.Lead)
	return r
}

type targetList struct {
	noopCommander
	serviceFilter
}

func (c *targetList) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	statuses, err := a.statuses(ctx)
	if err != nil {
		return err
	}
	rows := mergeTargets(statuses, c.serviceFilter)
	t := newTable("SERVICE", "TARGET", "ZONE", "STATE", "RUNNING", "SLOTS", "OWNER")
	for _, r := range rows {
		t.addRow(r.Service, r.Target, r.Zone, r.State, r.Running, r.Slots, r.Owner)
	}
	return a.printResult(rows, t)
}

// mergeTargets returns one row for each target: that of its owner if the owner
// responded, or else that of any daemon.
func mergeTargets(statuses []admin.Status, filter serviceFilter) []admin.Target {
	type key struct {
		service ident.Service
		target  ident.Target
	}
	targets := map[key]admin.Target{}
	for _, status := range statuses {
		for _, t := range status.Targets {
			k := key{t.Service, t.Target}
			if _, found := targets[k]; filter.matches(t.Service) && (!found || t.Owner == status.Daemon) {
				targets[k] = t
			}
		}
	}
	rows := make([]admin.Target, 0, len(targets))
	for _, row := range targets {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b admin.Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return rows
}

type statusCommand struct{ noopCommander }

func (c *statusCommand) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	statuses, err := a.statuses(ctx)
	if err != nil {
		return err
	}
	return a.printResult(statuses, statusTable(statuses))
}

func statusTable(statuses []admin.Status) *table {
	t := newTable("DAEMON", "ZONE", "STATE", "REVISION", "MEMBERS", "WAITING", "RUNNING", "OWNED TARGETS")
	for _, s := range statuses {
		waiting, running := countRequests(s)
		t.addRow(s.Daemon, s.Zone, s.State, s.Head, len(s.Members), waiting, running, countOwnedTargets(s))
	}
	return t
}

func countRequests(s admin.Status) (waiting, running int) {
	for _, q := range s.Queues {
		for _, n := range q.Waiting {
			waiting += n
		}
		running += q.Running
	}
	return waiting, running
}

func countOwnedTargets(s admin.Status) int {
	count := 0
	for _, t := range s.Targets {
		if t.Owner == s.Daemon {
			count++
		}
	}
	return count
}

type watchCommand struct {
	noopCommander
	Interval time.Duration `long:"interval" default:"2s" value-name:"DURATION" description:"time between two looks"`
	Count    int           `long:"count" value-name:"N" description:"end after so many looks (default: go on)"`
}

// run prints a table, or one line of JSON, at each refresh.
func (c *watchCommand) run(ctx context.Context, a *app) error {
	for refreshes := 1; ; refreshes++ {
		if err := c.refresh(ctx, a); err != nil {
			a.printMessage("%v", err)
		}
		if refreshes == c.Count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Interval):
		}
	}
}

func (c *watchCommand) refresh(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	statuses, err := a.statuses(ctx)
	if err != nil {
		return err
	}
	if a.options.Format == "json" {
		return json.NewEncoder(a.invocation.Stdout).Encode(statuses)
	}
	a.printMessage("%s", formatTime(time.Now()))
	return a.printResult(statuses, statusTable(statuses))
}
