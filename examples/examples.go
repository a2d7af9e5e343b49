// Package examples holds the rules files of two deployments, for programs that
// cannot rely on the folder they are started from.
package examples

import _ "embed"

// Hingeworks is examples/hingeworks.rules.
//
//go:embed hingeworks.rules
var Hingeworks string

// Errata is examples/errata.rules.
//
//go:embed errata.rules
var Errata string
