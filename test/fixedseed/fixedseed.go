// Package fixedseed gives property tests the same seed in every run, so that CI
// gives the same verdict. Import it for its effect; the flag -rapid.seed chooses
// another seed, and -rapid.checks more cases.
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

// Explore makes the property tests of a package draw longer sequences and more
// of them than rapid does by itself: some faults of a rule show in one of a
// thousand. The flags -rapid.checks and -rapid.steps still choose others. Call
// it in an init function.
func Explore(checks, steps int) {
	for name, n := range map[string]int{"rapid.checks": checks, "rapid.steps": steps} {
		if err := flag.Set(name, strconv.Itoa(n)); err != nil {
			panic(err)
		}
	}
}
