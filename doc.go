// Package ragwortpass is the root of a router for language-model traffic. It contains no
// code: the packages below it implement the routing, and cmd holds the programs.
// docs/ARCHITECTURE.md describes how they fit together.
package ragwortpass
