// Package configuration_test runs real daemon processes, each behind its own
// fault-injecting proxy to the platform's stand-in, and checks that an accepted
// document gets in force everywhere and never reverts.
package configuration_test

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
	dir, err := os.MkdirTemp("", "savorystall-configuration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if binary, err = program.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
