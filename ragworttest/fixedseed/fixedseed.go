// Package fixedseed makes property tests draw the same inputs in every run, so that
// CI gives the same verdict. A test package imports it for its effect. The flag
// -rapid.seed still chooses another seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag that is set here
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
