// Package examples embeds the rules files of two example deployments, so that programs do
// not depend on their working directory.
package examples

import _ "embed"

// Hingeworks is the text of hingeworks.rules.
//
//go:embed hingeworks.rules
var Hingeworks string

// Errata is the text of errata.rules.
//
//go:embed errata.rules
var Errata string
