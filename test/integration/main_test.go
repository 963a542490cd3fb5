// Package integration_test runs real daemon processes between callers and
// stand-ins, with a fault-injecting proxy on every link behind the daemons.
package integration_test

import (
	"testing"

	"github.com/savorystall/savorystall/test/program"
)

// binary is the daemon's program, built once for all tests.
var binary string

func TestMain(m *testing.M) { program.Main(m, &binary, raceFlag...) }
