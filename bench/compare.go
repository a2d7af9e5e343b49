package bench

// This file defines Compare, which prints two reports side by side, and
// ChecksAgainstNaive, which compares a report with that of the naive policy.

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Compare prints attainment by class, goodput, missed and wasted tokens and the
// outcomes of two reports side by side.
func Compare(out io.Writer, a, b *Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "\t%s\t%s\t\n", a.label(), b.label())
	for i := range a.Classes {
		ca, cb := &a.Classes[i], b.Class(a.Classes[i].Name)
		if cb == nil {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s in time %%\t%.1f\t%.1f\t\n", ca.Name, ca.Stats.Attainment*percent, cb.Stats.Attainment*percent)
	}
	line := func(name string, va, vb float64) {
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\t\n", name, va, vb)
	}
	line("goodput tokens/s", a.Total.GoodputTokens, b.Total.GoodputTokens)
	line("tokens asked for and not whole in time", float64(a.Total.MissedTokens()), float64(b.Total.MissedTokens()))
	if len(a.Workspaces) > 0 && len(b.Workspaces) > 0 {
		line("worst workspace in time %", a.Workspaces[0].Attainment*percent, b.Workspaces[0].Attainment*percent)
	}
	if a.Engines != nil && b.Engines != nil {
		line("wasted tokens", float64(a.Engines.WastedTokens), float64(b.Engines.WastedTokens))
		line("engine crashes", float64(a.Engines.Crashes), float64(b.Engines.Crashes))
		line("upstream-seconds", a.Engines.UpstreamSeconds, b.Engines.UpstreamSeconds)
	}
	for _, o := range Outcomes {
		line(string(o), float64(a.Total.Outcomes[o]), float64(b.Total.Outcomes[o]))
	}
	return w.Flush()
}

// Upper bounds in the comparison with the naive policy.
const (
	maxLossShare  = 0.5 // of the naive policy's missed tokens
	maxWasteShare = 0.5 // of the naive policy's wasted tokens
)

// ChecksAgainstNaive returns the checks that compare a report with that of the
// naive policy for the same experiment, deployment and seed.
func (r *Report) ChecksAgainstNaive(naive *Report) []Check {
	checks := []Check{atMost("lost_goodput_of_naive",
		float64(r.Total.MissedTokens()), maxLossShare*float64(naive.Total.MissedTokens()))}
	if r.Engines != nil && naive.Engines != nil {
		checks = append(checks, atMost("wasted_tokens_of_naive",
			float64(r.Engines.WastedTokens), maxWasteShare*float64(naive.Engines.WastedTokens)))
	}
	return checks
}

func (r *Report) label() string {
	return fmt.Sprintf("%s %s %s seed %d", r.Experiment, r.Deployment, r.Policy, r.Seed)
}
