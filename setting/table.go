package setting

// This file defines the settings table of the operators' page.

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// MarkdownTable returns a Markdown table of a program's flags.
func MarkdownTable(parser *kong.Kong) string {
	var b strings.Builder
	b.WriteString("| flag | environment | default | meaning |\n|---|---|---|---|\n")
	for _, f := range parser.Model.Flags {
		if f.Name == "help" {
			continue
		}
		otherwise := "`" + f.Default + "`"
		switch {
		case f.Required:
			otherwise = "required"
		case f.Default == "":
			otherwise = "none"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Name, strings.Join(f.Envs, "`, `"), otherwise, f.Help)
	}
	return b.String()
}
