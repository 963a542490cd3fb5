// Package fixedseed gives property tests the same seed in every run, so that CI
// results are reproducible. Import it for its side effect. The flag -rapid.seed
// selects another seed, and -rapid.checks the number of cases.
package fixedseed

import (
	"flag"
	"strconv"

	_ "pgregory.net/rapid" // defines the flag
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

// SetChecksAndSteps makes the property tests of a package generate more and longer
// sequences than rapid does by default, because some faults show in only one
// sequence of a thousand. The flags -rapid.checks and -rapid.steps still take
// precedence. Call it in an init function.
func SetChecksAndSteps(checks, steps int) {
	for name, n := range map[string]int{"rapid.checks": checks, "rapid.steps": steps} {
		if err := flag.Set(name, strconv.Itoa(n)); err != nil {
			panic(err)
		}
	}
}
