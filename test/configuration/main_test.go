// Package configuration_test runs real daemon processes, each behind its own
// fault-injecting proxy to the platform's stand-in, and checks that an accepted
// document gets in force everywhere and never reverts.
package configuration_test

import (
	"testing"

	"github.com/savorystall/savorystall/test/program"
)

// binary is the daemon's program, built once for all tests.
var binary string

func TestMain(m *testing.M) { program.Main(m, &binary) }
