// Package configuration_test runs real daemon processes, each of which reaches
// the emulated platform through its own fault-injecting proxy. The tests check
// that an accepted document takes effect on every daemon and never reverts.
package configuration_test

import (
	"testing"

	"github.com/savorystall/savorystall/test/program"
)

// binary is the path of the daemon's executable, which is built once for all
// tests.
var binary string

func TestMain(m *testing.M) { program.Main(m, &binary) }
