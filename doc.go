// Package ragwortpass is the root of the router for language-model traffic. It
// holds no code: the decisions live in the packages below it and the programs
// in cmd. docs/ARCHITECTURE.md says how they fit together.
package ragwortpass
