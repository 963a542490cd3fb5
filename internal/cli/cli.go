// Package cli is the operators' command-line tool. It talks to the platform's
// table for documents, and to the operators' ports of daemons for what is in
// force and what happens now. It keeps nothing.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/platform"
)

// Exit codes of the tool.
const (
	ExitOK = 0
	// ExitFailed is any failure that has no code of its own.
	ExitFailed = 1
	// ExitUsage is a command line that is not in order.
	ExitUsage = 2
	// ExitInvalid is a document that is not in order; nothing was changed.
	ExitInvalid = 3
	// ExitConflict is another operator's change that went first; nothing was
	// changed.
	ExitConflict = 4
	// ExitNotFound is a service or revision that the table does not hold.
	ExitNotFound = 5
	// ExitUnavailable is a platform or daemon out of reach; nothing was changed.
	ExitUnavailable = 6
	// ExitUnknown is a change that may have taken effect; look at the history.
	ExitUnknown = 7
	// ExitNotInForce is a change that was accepted but not seen in force on
	// every daemon in time.
	ExitNotInForce = 8
)

// System is what the tool has of its surroundings.
type System struct {
	// Arguments are those of the command line without the program's name.
	Arguments []string
	Input     io.Reader
	Output    io.Writer
	Errors    io.Writer
}

// globalOptions apply to every command.
type globalOptions struct {
	Platform string        `long:"platform" env:"SAVORYSTALL_PLATFORM" value-name:"URL" description:"base URL of the platform's services"`
	Token    string        `long:"platform-token" env:"SAVORYSTALL_PLATFORM_TOKEN" value-name:"KEY" description:"bearer key for the platform"`
	Daemons  []string      `long:"daemon" env:"SAVORYSTALL_DAEMONS" env-delim:"," value-name:"IP:PORT" description:"operators' port of a daemon; repeat for more (default: the daemons of the VM list)"`
	Port     string        `long:"operators-port" env:"SAVORYSTALL_OPERATORS_PORT" default:"8081" value-name:"PORT" description:"operators' port of the daemons of the VM list"`
	Author   string        `long:"author" env:"USER" value-name:"NAME" description:"whose change it is"`
	Timeout  time.Duration `long:"timeout" default:"10s" value-name:"DURATION" description:"bound on the calls of one command"`
	Format   string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

// command is one leaf of the command line.
type command interface {
	run(ctx context.Context, a *app) error
}

// leaf makes a command acceptable to the parser; Run calls run in its place.
type leaf struct{}

// Execute implements flags.Commander.
func (leaf) Execute([]string) error { return nil }

// commands is the tree of commands.
type commands struct {
	globalOptions

	Service struct {
		List     serviceList     `command:"list" description:"list the services"`
		Get      serviceGet      `command:"get" description:"print a service's document"`
		Check    serviceCheck    `command:"check" description:"check a document without applying it"`
		Apply    serviceApply    `command:"apply" description:"apply a document"`
		History  serviceHistory  `command:"history" description:"list a service's changes of the last 30 days"`
		Diff     serviceDiff     `command:"diff" description:"show the difference between two revisions, or to a file"`
		Rollback serviceRollback `command:"rollback" description:"apply an earlier revision as a new one"`
		Delete   serviceDelete   `command:"delete" description:"end a service"`
	} `command:"service" description:"documents of services"`
	Workspace struct {
		List workspaceList `command:"list" description:"list workspaces with what waits and runs"`
	} `command:"workspace" description:"workspaces of services"`
	Target struct {
		List targetList `command:"list" description:"list targets with their state"`
	} `command:"target" description:"targets of services"`
	Key struct {
		New  keyNew  `command:"new" description:"make a bearer key and its digest"`
		Hash keyHash `command:"hash" description:"print the digest of the bearer key on standard input"`
	} `command:"key" description:"bearer keys"`
	Status     statusCommand     `command:"status" description:"show the daemons"`
	Watch      watchCommand      `command:"watch" description:"show the daemons again and again"`
	Explain    explainCommand    `command:"explain" description:"tell from daemons' log lines what became of a request"`
	Emulate    emulateCommand    `command:"emulate" description:"run stand-ins of the platform and of targets on this machine"`
	Load       loadCommand       `command:"load" description:"send checked requests to a fleet in front of emulated targets"`
	Completion completionCommand `command:"completion" description:"print the shell's completion script"`
}

// app is what a command works with.
type app struct {
	options globalOptions
	system  System
	client  *platform.Client
}

// Run runs the tool and returns its exit code.
func Run(ctx context.Context, s System) int {
	var tree commands
	parser := flags.NewNamedParser("savorystall", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &tree); err != nil {
		return report(s, err)
	}
	var chosen command
	parser.CommandHandler = func(c flags.Commander, _ []string) error {
		chosen, _ = c.(command)
		return nil
	}
	rest, err := parser.ParseArgs(s.Arguments)
	if err != nil {
		return report(s, err)
	}
	if len(rest) > 0 {
		return report(s, usage("unexpected argument %q", rest[0]))
	}
	a := &app{options: tree.globalOptions, system: s}
	defer a.close()
	return report(s, chosen.run(ctx, a))
}

// usageError is a command line that the parser took but that is not in order.
type usageError struct{ text string }

func (u *usageError) Error() string { return u.text }

func usage(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// report prints an error for the operator and returns its exit code.
func report(s System, err error) int {
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Fprintln(s.Output, flagError.Message)
		return ExitOK
	}
	fmt.Fprintln(s.Errors, "savorystall:", err)
	if hint := hintOf(err); hint != "" {
		fmt.Fprintln(s.Errors, hint)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		flagError   *flags.Error
		usageError  *usageError
		invalid     *document.Invalid
		conflict    *config.EditConflict
		taken       *config.ModelConflict
		unknown     *platform.UnknownOutcome
		unavailable *platform.Unavailable
		notInForce  *notInForce
	)
	switch {
	case errors.As(err, &flagError), errors.As(err, &usageError):
		return ExitUsage
	case errors.As(err, &invalid), errors.As(err, &taken):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, config.ErrNotFound):
		return ExitNotFound
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unavailable), errors.Is(err, errNoDaemon):
		return ExitUnavailable
	case errors.As(err, &notInForce):
		return ExitNotInForce
	}
	return ExitFailed
}

// hintOf returns what an operator can do about an error.
func hintOf(err error) string {
	var conflict *config.EditConflict
	var unknown *platform.UnknownOutcome
	switch {
	case errors.As(err, &conflict):
		return conflictHint(conflict)
	case errors.As(err, &unknown):
		return "The change may be in force or not: look at `savorystall service history`, then apply it again if it is not there."
	}
	return ""
}

func conflictHint(c *config.EditConflict) string {
	if c.Current.Revision == 0 {
		return "Apply the document as a new service with --base 0."
	}
	hint := c.Diff
	if c.Current.Note != "" {
		hint += "Note of that change: " + c.Current.Note + "\n"
	}
	return hint + fmt.Sprintf("Take that change into your document (savorystall service get %s), and apply it again with --base %d.",
		c.Current.Service, c.CurrentBase())
}

// platform returns the client of the platform's services.
func (a *app) platform() (*platform.Client, error) {
	if a.options.Platform == "" {
		return nil, usage("no platform: set --platform or SAVORYSTALL_PLATFORM")
	}
	if a.client == nil {
		a.client = platform.NewClient(platform.ClientConfig{
			URL:         a.options.Platform,
			Token:       a.options.Token,
			CallTimeout: a.options.Timeout,
			Logger:      slog.New(slog.DiscardHandler),
		})
	}
	return a.client, nil
}

func (a *app) close() {
	if a.client != nil {
		a.client.Close()
	}
}

// editor returns the editor of documents in the operator's name.
func (a *app) editor() (*config.Editor, error) {
	client, err := a.platform()
	if err != nil {
		return nil, err
	}
	author := a.options.Author
	if author == "" {
		author = "unknown"
	}
	return &config.Editor{Table: client, Author: author}, nil
}

// within bounds the calls of one command by the timeout.
func (a *app) within(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, a.options.Timeout, merry.Errorf("no answer within %s", a.options.Timeout))
}
