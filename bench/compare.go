package bench

// This file defines Compare, which sets two reports side by side.

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Compare prints a and b side by side: attainment by class, goodput, and what was
// lost and wasted.
func Compare(out io.Writer, a, b *Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "\t%s\t%s\t\n", a.label(), b.label())
	for i := range a.Classes {
		ca, cb := &a.Classes[i], b.Class(a.Classes[i].Name)
		if cb == nil {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s in time %%\t%.1f\t%.1f\t\n", ca.Name, ca.Figures.Attainment*percent, cb.Figures.Attainment*percent)
	}
	line := func(name string, va, vb float64) {
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\t\n", name, va, vb)
	}
	line("goodput tokens/s", a.Total.GoodputTokens, b.Total.GoodputTokens)
	line("tokens asked for and not whole in time", float64(a.Total.LostTokens()), float64(b.Total.LostTokens()))
	if len(a.Workspaces) > 0 && len(b.Workspaces) > 0 {
		line("worst workspace in time %", a.Workspaces[0].Attainment*percent, b.Workspaces[0].Attainment*percent)
	}
	if a.Engines != nil && b.Engines != nil {
		line("wasted tokens", float64(a.Engines.Wasted), float64(b.Engines.Wasted))
		line("engines fell over", float64(a.Engines.Falls), float64(b.Engines.Falls))
		line("upstream-seconds", a.Engines.UpstreamSeconds, b.Engines.UpstreamSeconds)
	}
	for _, o := range Outcomes {
		line(string(o), float64(a.Total.Outcomes[o]), float64(b.Total.Outcomes[o]))
	}
	return w.Flush()
}

// Bounds of the comparison with the naive policy.
const (
	lossShare  = 0.5 // of the naive policy's lost goodput
	wasteShare = 0.5 // of the naive policy's wasted tokens
)

// AgainstNaive returns the checks that hold a report against the naive policy's
// for the same experiment, deployment and seed.
func (r *Report) AgainstNaive(naive *Report) []Check {
	checks := []Check{atMost("lost_goodput_of_naive",
		float64(r.Total.LostTokens()), lossShare*float64(naive.Total.LostTokens()))}
	if r.Engines != nil && naive.Engines != nil {
		checks = append(checks, atMost("wasted_tokens_of_naive",
			float64(r.Engines.Wasted), wasteShare*float64(naive.Engines.Wasted)))
	}
	return checks
}

func (r *Report) label() string {
	return fmt.Sprintf("%s %s %s seed %d", r.Experiment, r.Deployment, r.Policy, r.Seed)
}
