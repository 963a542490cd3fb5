package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/savorystall/savorystall/internal/explain"
)

// explainCommand prints the timeline of one request from the log lines of daemons.
type explainCommand struct {
	noopCommander
	Arguments struct {
		Request string   `positional-arg-name:"ID" required:"yes" description:"the caller's name of the request"`
		Files   []string `positional-arg-name:"FILE" description:"log files of daemons; none: standard input"`
	} `positional-args:"yes"`
}

func (c *explainCommand) run(_ context.Context, a *app) error {
	var log explain.Log
	for _, name := range c.Arguments.Files {
		if err := readLog(&log, name); err != nil {
			return err
		}
	}
	if len(c.Arguments.Files) == 0 {
		if err := log.Read(a.invocation.Stdin, "stdin"); err != nil {
			return err
		}
	}
	if n := log.Skipped(); n > 0 {
		// The timeline is still valid if this warning cannot be written.
		_, _ = fmt.Fprintf(a.invocation.Stderr, "savorystall: %d lines are none of a daemon's log and were passed over\n", n)
	}
	return log.WriteTimeline(a.invocation.Stdout, c.Arguments.Request)
}

func readLog(log *explain.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // only read, so no data can be lost
	return log.Read(f, name)
}
