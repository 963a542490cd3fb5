// Package fixedseed gives property tests the same seed in every run, so that CI
// gives the same verdict. Import it for its effect; the flag -rapid.seed chooses
// another seed, and -rapid.checks more cases.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
