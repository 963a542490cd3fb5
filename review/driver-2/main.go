// Command driver-2 plays one scripted case of the second review: it starts daemons as separate processes,
// with a platform store, engines and clients of its own on loopback addresses, and reports whether a rule was
// broken.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// maxCaseTime bounds one case.
const maxCaseTime = 110 * time.Second

// errBroken is the error of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the name of a case to the function that plays it. Trouble is false for the run without disruption.
var cases = map[string]func(f *fixture, trouble bool) error{
	"refused-but-run": refusedButRun,
	"memory":          memory,
	"foreign-tenant":  foreignTenant,
	"token-usage":     tokenUsage,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the record")
	root := flag.String("root", ".", "root of the repository")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNoRun
	}
	rec, err := newRecord(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer rec.close()
	f, err := newFixture(*root, rec)
	if err != nil {
		rec.line("could not run: %v", err)
		return exitNoRun
	}
	defer f.close()
	done := make(chan error, 1)
	go func() { done <- play(f, *trouble) }()
	select {
	case err = <-done:
	case <-time.After(maxCaseTime):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		rec.line("HELD")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.line("BROKEN: %v", err)
		return exitBroken
	}
	rec.line("could not run: %v", err)
	return exitNoRun
}
