package main

// This file defines the usage commands.

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
)

type usageCommand struct {
	Show usageShow `cmd:"" help:"Show what was delivered, by window, workspace, class and model."`
}

type usageShow struct {
	Window    time.Time `help:"Start of one window, such as 2026-12-04T10:05:00Z."`
	Workspace string    `help:"One workspace."`
}

// Run prints the usage in the windows that the log still holds.
func (c *usageShow) Run(env *commandEnv) error {
	windows, err := env.client.Usage(context.Background(), operator.UsageFilter{
		Window: c.Window, Workspace: id.Workspace(c.Workspace),
	})
	if err != nil {
		return err
	}
	return env.print(windows, usageText(windows))
}

// usageText formats usage windows as a table with one row per usage line.
func usageText(windows []operator.WindowUsage) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WINDOW\tSTATE\tWORKSPACE\tCLASS\tMODEL\tREQUESTS\tPROMPT\tOUTPUT\tREPORT")
	for _, u := range windows {
		for _, l := range u.Lines {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", u.Window.Format(time.RFC3339), u.State,
				l.Workspace, l.Class, orDash(string(l.Model)), l.Requests, l.PromptTokens, l.OutputTokens, orDash(u.Report))
		}
	}
	_ = w.Flush()
	return b.String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
