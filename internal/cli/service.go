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

// basePrefix starts the line that `service get` puts before a document. It
// carries the revision that the operator has seen back to `service apply`.
const basePrefix = "# savorystall revision: "

// serviceName is the argument of most commands.
type serviceName struct {
	Positional struct {
		Name ident.Service `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// fileName is the argument of commands that read a document.
type fileName struct {
	Positional struct {
		File string `positional-arg-name:"FILE" description:"document; - is standard input"`
	} `positional-args:"yes" required:"yes"`
}

// changeOptions belong to every command that changes a service.
type changeOptions struct {
	Note string        `long:"note" value-name:"TEXT" description:"reason, for the history"`
	Wait bool          `long:"wait" description:"wait until the change is in force on every daemon"`
	For  time.Duration `long:"wait-for" default:"30s" value-name:"DURATION" description:"bound on --wait"`
}

// change is the result of a command that changes a service.
type change struct {
	Service  ident.Service `json:"service"`
	Revision uint64        `json:"revision"`
	// InForce and Daemons are set by --wait.
	InForce int `json:"in_force,omitempty"`
	Daemons int `json:"daemons,omitempty"`
}

// finish reports a change, after it is in force where that is asked for.
func (o changeOptions) finish(ctx context.Context, a *app, done change) error {
	if !o.Wait {
		return a.printChange(done)
	}
	reached, err := a.waitInForce(ctx, done.Service, done.Revision, o.For)
	done.InForce, done.Daemons = reached.inForce, reached.daemons
	if printErr := a.printChange(done); printErr != nil {
		return printErr
	}
	return err
}

func (a *app) printChange(done change) error {
	t := newTable("SERVICE", "REVISION", "IN FORCE")
	inForce := "not asked"
	if done.Daemons > 0 {
		inForce = fmt.Sprintf("%d of %d daemons", done.InForce, done.Daemons)
	}
	t.add(done.Service, done.Revision, inForce)
	return a.print(done, t)
}

type serviceList struct {
	leaf
	All bool `long:"all" description:"list deleted services too"`
}

// serviceRow is one line of the list of services.
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
	ctx, cancel := a.within(ctx)
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
		t.add(row.Service, row.Kind, row.Revision, row.Workspaces, row.Targets, row.Author, stamp(row.At))
	}
	return a.print(rows, t)
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

func stamp(at time.Time) string { return at.UTC().Format(time.RFC3339) }

func (a *app) records(ctx context.Context) ([]config.Record, error) {
	editor, err := a.editor()
	if err != nil {
		return nil, err
	}
	return editor.List(ctx)
}

type serviceGet struct {
	leaf
	serviceName
	Revision uint64 `long:"revision" value-name:"N" description:"an earlier revision"`
}

func (c *serviceGet) run(ctx context.Context, a *app) error {
	ctx, cancel := a.within(ctx)
	defer cancel()
	record, err := a.record(ctx, c.Positional.Name, c.Revision)
	if err != nil {
		return err
	}
	if a.options.Format == "json" {
		return a.print(record, nil)
	}
	if record.Deleted {
		return merry.Prependf(config.ErrNotFound, "service %s was deleted by %s at revision %d", record.Service, record.Author, record.Revision)
	}
	_, err = fmt.Fprintf(a.system.Output, "%s%d\n%s", basePrefix, record.Revision, record.Text)
	return err
}

// record returns a service's record at a revision; zero is the present one.
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
	leaf
	fileName
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
	a.say("the document of service %s is valid", d.Service)
	return nil
}

// readDocument reads a document and the base revision that its first line
// names, if it was written by `service get`.
func (a *app) readDocument(file string) (text []byte, base *uint64, err error) {
	if file == "-" {
		text, err = io.ReadAll(io.LimitReader(a.system.Input, document.MaxBytes+1))
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, merry.Prepend(err, "document")
	}
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	number, found := bytes.CutPrefix(first, []byte(basePrefix))
	if !found {
		return text, nil, nil
	}
	revision, err := strconv.ParseUint(string(bytes.TrimSpace(number)), 10, 64)
	if err != nil {
		return nil, nil, usage("the first line of the document names no revision: %q", first)
	}
	return rest, &revision, nil
}

type serviceApply struct {
	leaf
	fileName
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
	return c.finish(ctx, a, change{Service: d.Service, Revision: revision})
}

type serviceHistory struct {
	leaf
	serviceName
}

func (c *serviceHistory) run(ctx context.Context, a *app) error {
	ctx, cancel := a.within(ctx)
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
		t.add(r.Revision, stamp(r.At), r.Author, kindOfChange(r), r.Note)
	}
	return a.print(records, t)
}

func kindOfChange(r config.Record) string {
	switch {
	case r.Deleted:
		return "deleted"
	case r.Previous == 0:
		return "created"
	}
	return "changed"
}

type serviceDiff struct {
	leaf
	serviceName
	From uint64 `long:"from" value-name:"N" description:"older revision (default: the one before --to)"`
	To   uint64 `long:"to" value-name:"N" description:"newer revision (default: the present one)"`
	File string `long:"file" value-name:"FILE" description:"compare the present document with this one"`
}

func (c *serviceDiff) run(ctx context.Context, a *app) error {
	ctx, cancel := a.within(ctx)
	defer cancel()
	from, to, err := c.sides(ctx, a)
	if err != nil {
		return err
	}
	diff := config.Diff(from, to)
	if a.options.Format == "json" {
		return a.print(struct {
			Diff string `json:"diff"`
		}{diff}, nil)
	}
	_, err = io.WriteString(a.system.Output, diff)
	return err
}

func (c *serviceDiff) sides(ctx context.Context, a *app) (from, to config.Record, err error) {
	if to, err = a.record(ctx, c.Positional.Name, c.To); err != nil {
		return from, to, err
	}
	if c.File != "" {
		text, _, err := a.readDocument(c.File)
		return to, config.Record{Service: to.Service, Text: string(text)}, err
	}
	before := c.From
	if before == 0 {
		before = to.Previous
	}
	if before == 0 {
		return from, to, nil // the service was created by this revision
	}
	from, err = a.record(ctx, c.Positional.Name, before)
	return from, to, err
}

type serviceRollback struct {
	leaf
	serviceName
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
	return c.finish(ctx, a, change{Service: c.Positional.Name, Revision: revision})
}

type serviceDelete struct {
	leaf
	serviceName
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
		return config.ErrNotFound // nobody went first: there never was one
	}
	if err != nil {
		return err
	}
	return c.finish(ctx, a, change{Service: c.Positional.Name, Revision: revision})
}
