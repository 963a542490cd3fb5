// Command driver plays the script cases of the review. It starts daemons as separate processes
// with the command and the settings template of the deploy files, and provides the platform's
// store, the engines and the clients as stand-ins on loopback addresses.
//
//	driver CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a case, below the 120 s that a script may take.
const maxRunTime = 100 * time.Second

// verdict is the result of a case: the violations of its rule, and why it is not conclusive.
type verdict struct {
	violations []string
	invalid    string
}

// cases maps the names of the cases to their scenarios.
var cases = map[string]func(*env) verdict{
	"stray-refusal":  strayRefusal,
	"unsigned":       unsignedSuccess,
	"long-error":     longError,
	"first-event":    firstEvent,
	"public-tenant":  publicTenant,
	"late-body":      lateBody,
	"mixed-versions": mixedVersions,
	"many-owners":    manyOwners,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		return exitNotRun
	}
	e, err := newEnv(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return exitNotRun
	}
	defer e.close()
	time.AfterFunc(maxRunTime, func() {
		e.record.linef("the case did not end within %s", maxRunTime)
		e.close()
		os.Exit(exitNotRun)
	})
	v := cases[os.Args[1]](e)
	for _, text := range v.violations {
		e.record.linef("broken: %s", text)
	}
	switch {
	case v.invalid != "":
		e.record.linef("not run: %s", v.invalid)
		return exitNotRun
	case len(v.violations) > 0:
		e.record.linef("result: broken %d times", len(v.violations))
		return exitBroken
	}
	e.record.linef("result: held")
	return exitHeld
}
