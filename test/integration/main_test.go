// Package integration_test runs real daemon processes between callers and
// stand-ins, with a fault-injecting proxy on every link behind the daemons.
package integration_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/savorystall/savorystall/test/program"
)

// binary is the daemon's program, built once for all tests.
var binary string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "savorystall-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if binary, err = program.Build(dir, raceFlag...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
