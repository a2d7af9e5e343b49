package setting

// This file generates the settings tables of the operators' manual.

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
		defaultText := "`" + f.Default + "`"
		switch {
		case f.Required:
			defaultText = "required"
		case f.Default == "":
			defaultText = "none"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Name, strings.Join(f.Envs, "`, `"), defaultText, f.Help)
	}
	return b.String()
}
