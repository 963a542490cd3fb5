package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
)

// baseRevisionPrefix starts the line that `service get` prints before a document.
// `service apply` reads from it the revision that the edited document is based on.
const baseRevisionPrefix = "# savorystall revision: "

// serviceArgument is the positional argument of commands that apply to one service.
type serviceArgument struct {
	Positional struct {
		Name ident.Service `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// fileArgument is the positional argument of commands that read a document.
type fileArgument struct {
	Positional struct {
		File string `positional-arg-name:"FILE" description:"document; - is standard input"`
	} `positional-args:"yes" required:"yes"`
}

// changeOptions are common to all commands that change a service.
type changeOptions struct {
	Note        string        `long:"note" value-name:"TEXT" description:"reason, for the history"`
	Wait        bool          `long:"wait" description:"wait until the change is in force on every daemon"`
	WaitTimeout time.Duration `long:"wait-for" default:"30s" value-name:"DURATION" description:"bound on --wait"`
}

// changeResult is the output of a command that changes a service.
type changeResult struct {
	Service  ident.Service `json:"service"`
	Revision uint64        `json:"revision"`
	// ActiveDaemons and TotalDaemons are set only with --wait.
	ActiveDaemons int `json:"in_force,omitempty"`
	TotalDaemons  int `json:"daemons,omitempty"`
}

// reportChange prints a change. With --wait it first waits until the change is
// active on all daemons.
func (o changeOptions) reportChange(ctx context.Context, a *app, result changeResult) error {
	if !o.Wait {
		return a.printChange(result)
	}
	rollout, err := a.waitActive(ctx, result.Service, result.Revision, o.WaitTimeout)
	result.ActiveDaemons, result.TotalDaemons = rollout.active, rollout.total
	if printErr := a.printChange(result); printErr != nil {
		return printErr
	}
	return err
}

func (a *app) printChange(result changeResult) error {
	t := newTable("SERVICE", "REVISION", "IN FORCE")
	active := "not asked"
	if result.TotalDaemons > 0 {
		active = fmt.Sprintf("%d of %d daemons", result.ActiveDaemons, result.TotalDaemons)
	}
	t.addRow(result.Service, result.Revision, active)
	return a.printResult(result, t)
}

type serviceList struct {
	noopCommander
	All bool `long:"all" description:"list deleted services too"`
}

// serviceRow is one row of the list of services.
type serviceRow struct {
	Service    ident.Service `json:"service"`
	Kind       document.Kind `json:"kind"`
	Revision   uint64        `json:"revision"`
	Deleted    bool          `json:"deleted"`
	Workspaces int           `json:"workspaces"`
	Targets    int           `json:"targets"`
	Author     string        `json:"author"`
	At         time.Time     `json:"at"`
}

func (c *serviceList) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	records, err := a.records(ctx)
	if err != nil {
		return err
	}
	rows := []serviceRow{}
	t := newTable("SERVICE", "KIND", "REVISION", "WORKSPACES", "TARGETS", "AUTHOR", "CHANGED")
	for _, r := range records {
		if r.Deleted && !c.All {
			continue
		}
		row := newServiceRow(r)
		rows = append(rows, row)
		t.addRow(row.Service, row.Kind, row.Revision, row.Workspaces, row.Targets, row.Author, formatTime(row.At))
	}
	return a.printResult(rows, t)
}

func newServiceRow(r config.Record) serviceRow {
	row := serviceRow{Service: r.Service, Revision: r.Revision, Deleted: r.Deleted, Author: r.Author, At: r.At}
	if r.Deleted {
		row.Kind = "deleted"
		return row
	}
	if d, err := document.Parse([]byte(r.Text)); err == nil {
		row.Kind, row.Workspaces, row.Targets = d.Kind, len(d.Workspaces), len(d.Targets)
	}
	return row
}

func formatTime(at time.Time) string { return at.UTC().Format(time.RFC3339) }

func (a *app) records(ctx context.Context) ([]config.Record, error) {
	editor, err := a.editor()
	if err != nil {
		return nil, err
	}
	return editor.List(ctx)
}

type serviceGet struct {
	noopCommander
	serviceArgument
	Revision uint64 `long:"revision" value-name:"N" description:"an earlier revision"`
}

func (c *serviceGet) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	record, err := a.record(ctx, c.Positional.Name, c.Revision)
	if err != nil {
		return err
	}
	if a.options.Format == "json" {
		return a.printResult(record, nil)
	}
	if record.Deleted {
		return merry.Prependf(config.ErrNotFound, "service %s was deleted by %s at revision %d", record.Service, record.Author, record.Revision)
	}
	_, err = fmt.Fprintf(a.invocation.Stdout, "%s%d\n%s", baseRevisionPrefix, record.Revision, record.Text)
	return err
}

// record returns the record of a service at a revision; zero means the current one.
func (a *app) record(ctx context.Context, name ident.Service, revision uint64) (config.Record, error) {
	editor, err := a.editor()
	if err != nil {
		return config.Record{}, err
	}
	if revision == 0 {
		return editor.Get(ctx, name)
	}
	return editor.GetRevision(ctx, name, revision)
}

type serviceCheck struct {
	noopCommander
	fileArgument
}

func (c *serviceCheck) run(_ context.Context, a *app) error {
	text, _, err := a.readDocument(c.Positional.File)
	if err != nil {
		return err
	}
	d, err := document.Parse(text)
	if err != nil {
		return err
	}
	a.printMessage("the document of service %s is valid", d.Service)
	return nil
}

// readDocument reads a document. If its first line was written by `service get`,
// the line is removed and the base revision in it is returned.
func (a *app) readDocument(file string) (text []byte, base *uint64, err error) {
	if file == "-" {
		text, err = io.ReadAll(io.LimitReader(a.invocation.Stdin, document.MaxBytes+1))
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, merry.Prepend(err, "document")
	}
	firstLine, rest, _ := bytes.Cut(text, []byte("\n"))
	number, found := bytes.CutPrefix(firstLine, []byte(baseRevisionPrefix))
	if !found {
		return text, nil, nil
	}
	revision, err := strconv.ParseUint(string(bytes.TrimSpace(number)), 10, 64)
	if err != nil {
		return nil, nil, usageErrorf("the first line of the document names no revision: %q", firstLine)
	}
	return rest, &revision, nil
}

type serviceApply struct {
	noopCommander
	fileArgument
	changeOptions
	Base *uint64 `long:"base" value-name:"N" description:"revision that the document is based on (default: that of 'service get', else a new service)"`
}

func (c *serviceApply) run(ctx context.Context, a *app) error {
	text, base, err := a.readDocument(c.Positional.File)
	if err != nil {
		return err
	}
	if c.Base != nil {
		base = c.Base
	}
	if base == nil {
		base = new(uint64)
	}
	d, err := document.Parse(text)
	if err != nil {
		return err
	}
	editor, err := a.editor()
	if err != nil {
		return err
	}
	revision, err := editor.Apply(ctx, text, *base, c.Note)
	if err != nil {
		return err
	}
	return c.reportChange(ctx, a, changeResult{Service: d.Service, Revision: revision})
}

type serviceHistory struct {
	noopCommander
	serviceArgument
}

func (c *serviceHistory) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	editor, err := a.editor()
	if err != nil {
		return err
	}
	records, err := editor.History(ctx, c.Positional.Name)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return config.ErrNotFound
	}
	t := newTable("REVISION", "CHANGED", "AUTHOR", "CHANGE", "NOTE")
	for _, r := range records {
		t.addRow(r.Revision, formatTime(r.At), r.Author, changeKind(r), r.Note)
	}
	return a.printResult(records, t)
}

func changeKind(r config.Record) string {
	switch {
	case r.Deleted:
		return "deleted"
	case r.Previous == 0:
		return "created"
	}
	return "changed"
}

type serviceDiff struct {
	noopCommander
	serviceArgument
	From uint64 `long:"from" value-name:"N" description:"older revision (default: the one before --to)"`
	To   uint64 `long:"to" value-name:"N" description:"newer revision (default: the present one)"`
	File string `long:"file" value-name:"FILE" description:"compare the present document with this one"`
}

func (c *serviceDiff) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	from, to, err := c.recordsToCompare(ctx, a)
	if err != nil {
		return err
	}
	diff := config.Diff(from, to)
	if a.options.Format == "json" {
		return a.printResult(struct {
			Diff string `json:"diff"`
		}{diff}, nil)
	}
	_, err = io.WriteString(a.invocation.Stdout, diff)
	return err
}

func (c *serviceDiff) recordsToCompare(ctx context.Context, a *app) (from, to config.Record, err error) {
	if to, err = a.record(ctx, c.Positional.Name, c.To); err != nil {
		return from, to, err
	}
	if c.File != "" {
		text, _, err := a.readDocument(c.File)
		return to, config.Record{Service: to.Service, Text: string(text)}, err
	}
	fromRevision := c.From
	if fromRevision == 0 {
		fromRevision = to.Previous
	}
	if fromRevision == 0 {
		return from, to, nil // the service was created by this revision
	}
	from, err = a.record(ctx, c.Positional.Name, fromRevision)
	return from, to, err
}

type serviceRollback struct {
	noopCommander
	serviceArgument
	changeOptions
	To   uint64 `long:"to" required:"yes" value-name:"N" description:"revision to return to"`
	Base uint64 `long:"base" required:"yes" value-name:"N" description:"present revision that you have seen; 0 if the service is deleted"`
}

func (c *serviceRollback) run(ctx context.Context, a *app) error {
	editor, err := a.editor()
	if err != nil {
		return err
	}
	revision, err := editor.Rollback(ctx, c.Positional.Name, c.To, c.Base, c.Note)
	if err != nil {
		return err
	}
	return c.reportChange(ctx, a, changeResult{Service: c.Positional.Name, Revision: revision})
}

type serviceDelete struct {
	noopCommander
	serviceArgument
	changeOptions
	Base uint64 `long:"base" required:"yes" value-name:"N" description:"present revision that you have seen"`
}

func (c *serviceDelete) run(ctx context.Context, a *app) error {
	editor, err := a.editor()
	if err != nil {
		return err
	}
	revision, err := editor.Delete(ctx, c.Positional.Name, c.Base, c.Note)
	var conflict *config.EditConflict
	if errors.As(err, &conflict) && conflict.Current.Revision == 0 {
		return config.ErrNotFound // not a concurrent change: the service never existed
	}
	if err != nil {
		return err
	}
	return c.reportChange(ctx, a, changeResult{Service: c.Positional.Name, Revision: revision})
}
