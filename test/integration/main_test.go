// Package integration_test tests real daemon processes with test callers and
// stand-ins, with a fault-injecting proxy on every link to targets and peers.
package integration_test

import (
	"testing"

	"github.com/savorystall/savorystall/test/program"
)

// daemonBinary is the path of the daemon's binary, built once for all tests.
var daemonBinary string

func TestMain(m *testing.M) { program.Main(m, &daemonBinary, raceFlag...) }
