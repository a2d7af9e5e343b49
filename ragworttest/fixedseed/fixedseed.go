// Package fixedseed gives property tests a fixed seed, so that every run of CI tests the same
// inputs and has the same result. A test package imports it for its side effect. The flag
// -rapid.seed overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag that init sets
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
