package bench

// This file prints, saves and reads reports.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
)

const (
	reportFile = "report.json"
	plotFile   = "attainment.png"
	percent    = 100
)

// WriteTable prints a report as a table, followed by totals, notes and checks.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\ttier\tcalls\tin time %\tttft p50\tp95\tp99 ms\tgap p50\tp95 ms\twhole\tnot run\tunknown\tcut\twrong\tlost\t")
	for i := range r.Classes {
		c := &r.Classes[i]
		stats := &c.Stats
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f", c.Name, c.Tier, stats.Calls, stats.Attainment*percent,
			c.TTFT.P50, c.TTFT.P95, c.TTFT.P99, c.MeanGap.P50, c.MeanGap.P95)
		for _, o := range Outcomes {
			_, _ = fmt.Fprintf(w, "\t%d", stats.Outcomes[o])
		}
		_, _ = fmt.Fprint(w, "\t\n")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	r.writeTotals(out)
	return nil
}

func (r *Report) writeTotals(out io.Writer) {
	_, _ = fmt.Fprintf(out, "goodput: %.0f tokens/s, %.1f requests/s in time, of %d calls\n",
		r.Total.GoodputTokens, r.Total.GoodputRequests, r.Total.Calls)
	if len(r.Workspaces) > 0 {
		w := r.Workspaces[0]
		_, _ = fmt.Fprintf(out, "worst workspace: %s %.1f %% in time of %d calls\n", w.Name, w.Attainment*percent, w.Calls)
	}
	if e := r.Engines; e != nil {
		_, _ = fmt.Fprintf(out, "wasted: %d of %d generated tokens; engine crashes %d; upstream-seconds %.0f\n", e.WastedTokens, e.GeneratedTokens, e.Crashes, e.UpstreamSeconds)
		_, _ = fmt.Fprintf(out, "overtakes beyond floors: %.1f %%\n", r.OvertakesBeyondFloor*percent)
		_, _ = fmt.Fprintf(out, "false not_run: %d; doubled bookings: %d\n", e.FalseNotRun, e.DoubledBookings)
	}
	if u := r.Usage; u != nil {
		_, _ = fmt.Fprintf(out, "usage: %d reports of %d windows, %d differing; %d tokens reported, %d delivered, off by %d over workspaces\n",
			u.Reports, u.Windows, u.DifferingWindows, u.ReportedTokens, u.DeliveredTokens, u.Deviation)
	}
	if len(r.Total.Reasons) > 0 {
		_, _ = fmt.Fprintf(out, "refusal reasons: %v\n", r.Total.Reasons)
	}
	if r.Engines != nil {
		for _, n := range r.Engines.FalseRefusals {
			_, _ = fmt.Fprintln(out, n)
		}
	}
	for _, n := range r.Notes {
		_, _ = fmt.Fprintln(out, n)
	}
	for _, c := range r.Checks {
		_, _ = fmt.Fprintln(out, c)
	}
}

// String returns the line that is printed for a check.
func (c Check) String() string {
	state := "ok"
	if !c.Ok {
		state = "BROKEN"
	}
	line := fmt.Sprintf("check %s %s %.4g %.4g", c.Name, state, c.Value, c.Bound)
	if c.Note != "" {
		line += " (" + c.Note + ")"
	}
	return line
}

// AnyCheckFailed reports whether any check failed.
func (r *Report) AnyCheckFailed() bool {
	for _, c := range r.Checks {
		if !c.Ok {
			return true
		}
	}
	return false
}

// Save writes the report and its plot into a folder, which it creates if needed.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), append(data, '\n'), 0o644); err != nil {
		return err
	}
	return r.plot(filepath.Join(dir, plotFile))
}

// ReadReport reads the report that Save wrote into a folder.
func ReadReport(dir string) (*Report, error) {
	data, err := os.ReadFile(filepath.Join(dir, reportFile))
	if err != nil {
		return nil, err
	}
	r := &Report{}
	return r, json.Unmarshal(data, r)
}
