// Package cli implements the operators' command-line tool. It reads and writes
// service documents in the platform's table, and queries the operators' ports of
// daemons for the active configuration and the current load. It keeps no state
// between runs.
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
	// ExitFailed is returned for failures that have no specific code.
	ExitFailed = 1
	// ExitUsage is returned for an invalid command line.
	ExitUsage = 2
	// ExitInvalid is returned for an invalid document; nothing was changed.
	ExitInvalid = 3
	// ExitConflict is returned if another operator has changed the service since
	// the base revision; nothing was changed.
	ExitConflict = 4
	// ExitNotFound is returned if the table does not contain the service or
	// revision.
	ExitNotFound = 5
	// ExitUnavailable is returned if the platform cannot be reached or no daemon
	// responds; nothing was changed.
	ExitUnavailable = 6
	// ExitUnknown is returned if a change may or may not have been written; the
	// history shows whether it was.
	ExitUnknown = 7
	// ExitNotActive is returned if a change was accepted but did not become
	// active on every daemon within the timeout of --wait.
	ExitNotActive = 8
)

// Invocation holds the arguments and the standard streams of one run of the tool.
type Invocation struct {
	// Args are the command-line arguments without the program name.
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// globalOptions apply to every command.
type globalOptions struct {
	Platform      string        `long:"platform" env:"SAVORYSTALL_PLATFORM" value-name:"URL" description:"base URL of the platform's services"`
	Token         string        `long:"platform-token" env:"SAVORYSTALL_PLATFORM_TOKEN" value-name:"KEY" description:"bearer key for the platform"`
	Daemons       []string      `long:"daemon" env:"SAVORYSTALL_DAEMONS" env-delim:"," value-name:"IP:PORT" description:"operators' port of a daemon; repeat for more (default: the daemons of the VM list)"`
	OperatorsPort string        `long:"operators-port" env:"SAVORYSTALL_OPERATORS_PORT" default:"8081" value-name:"PORT" description:"operators' port of the daemons of the VM list"`
	Author        string        `long:"author" env:"USER" value-name:"NAME" description:"whose change it is"`
	Timeout       time.Duration `long:"timeout" default:"10s" value-name:"DURATION" description:"bound on the calls of one command"`
	Format        string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

// command is an executable subcommand.
type command interface {
	run(ctx context.Context, a *app) error
}

// noopCommander implements flags.Commander, which the parser requires of commands.
// Run calls command.run instead, which also takes a context.
type noopCommander struct{}

// Execute implements flags.Commander and does nothing.
func (noopCommander) Execute([]string) error { return nil }

// rootCommand holds the global options and all subcommands.
type rootCommand struct {
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
	Zone struct {
		List zoneList `command:"list" description:"list the evacuated availability zones, where routes are served"`
	} `command:"zone" description:"availability zones"`
	Key struct {
		New  keyNew  `command:"new" description:"make a bearer key and its digest"`
		Hash keyHash `command:"hash" description:"print the digest of the bearer key on standard input"`
	} `command:"key" description:"bearer keys"`
	Status     statusCommand     `command:"status" description:"show the daemons"`
	Where      whereCommand      `command:"where" description:"tell where a request would go now, and why, where routes are served"`
	Watch      watchCommand      `command:"watch" description:"show the daemons again and again"`
	Explain    explainCommand    `command:"explain" description:"tell from daemons' log lines what became of a request"`
	Emulate    emulateCommand    `command:"emulate" description:"run stand-ins of the platform and of targets on this machine"`
	Load       loadCommand       `command:"load" description:"send checked requests to a fleet in front of emulated targets"`
	Completion completionCommand `command:"completion" description:"print the shell's completion script"`
}

// app is passed to the command that runs.
type app struct {
	options    globalOptions
	invocation Invocation
	client     *platform.Client
}

// Run runs the tool and returns its exit code.
func Run(ctx context.Context, s Invocation) int {
	var root rootCommand
	parser := flags.NewNamedParser("savorystall", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &root); err != nil {
		return reportError(s, err)
	}
	var selected command
	parser.CommandHandler = func(c flags.Commander, _ []string) error {
		selected, _ = c.(command)
		return nil
	}
	extra, err := parser.ParseArgs(s.Args)
	if err != nil {
		return reportError(s, err)
	}
	if len(extra) > 0 {
		return reportError(s, usageErrorf("unexpected argument %q", extra[0]))
	}
	a := &app{options: root.globalOptions, invocation: s}
	defer a.close()
	return reportError(s, selected.run(ctx, a))
}

// usageError describes a command line that the parser accepts but that is invalid.
type usageError struct{ message string }

func (u *usageError) Error() string { return u.message }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// reportError prints err, if it is not nil, with a hint, and returns the exit code.
func reportError(s Invocation, err error) int {
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Fprintln(s.Stdout, flagError.Message)
		return ExitOK
	}
	fmt.Fprintln(s.Stderr, "savorystall:", err)
	if hint := errorHint(err); hint != "" {
		fmt.Fprintln(s.Stderr, hint)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		flagError     *flags.Error
		usageError    *usageError
		invalid       *document.Invalid
		conflict      *config.EditConflict
		modelConflict *config.ModelConflict
		unknown       *platform.UnknownOutcome
		unavailable   *platform.Unavailable
		notActive     *notActiveError
	)
	switch {
	case errors.As(err, &flagError), errors.As(err, &usageError):
		return ExitUsage
	case errors.As(err, &invalid), errors.As(err, &modelConflict):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, config.ErrNotFound):
		return ExitNotFound
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unavailable), errors.Is(err, errNoDaemon):
		return ExitUnavailable
	case errors.As(err, &notActive):
		return ExitNotActive
	}
	return ExitFailed
}

// errorHint returns advice on how to resolve an error, or "".
func errorHint(err error) string {
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

// platformClient returns the client of the platform's services. It is created at
// the first call.
func (a *app) platformClient() (*platform.Client, error) {
	if a.options.Platform == "" {
		return nil, usageErrorf("no platform: set --platform or SAVORYSTALL_PLATFORM")
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

// editor returns an editor that records the operator as the author of changes.
func (a *app) editor() (*config.Editor, error) {
	client, err := a.platformClient()
	if err != nil {
		return nil, err
	}
	author := a.options.Author
	if author == "" {
		author = "unknown"
	}
	return &config.Editor{Table: client, Author: author}, nil
}

// withTimeout returns a context that is canceled after the --timeout option.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, a.options.Timeout, merry.Errorf("no answer within %s", a.options.Timeout))
}
