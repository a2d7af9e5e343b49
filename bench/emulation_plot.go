package bench

// This file defines the plots of an EmulationReport: what came of the calls, the load of the
// engines, and the waits.

import (
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// waitTicks is how many points a plot of waits has for each halving of the remaining share.
const waitTicks = 20

// plot draws the plots into a folder.
func (r *EmulationReport) plot(dir string) error {
	calls := r.newPlot("second in which a call was sent", "calls")
	if err := r.drawSeries(calls, filepath.Join(dir, "calls.png"),
		series{"in time", func(s *EmulatedSecond) float64 { return s.InTime }}, series{"late", func(s *EmulatedSecond) float64 { return s.Late }},
		series{"refused", func(s *EmulatedSecond) float64 { return s.Refused }}, series{"failed", func(s *EmulatedSecond) float64 { return s.Failed }}); err != nil {
		return err
	}
	engines := r.newPlot("second", "share")
	if err := r.drawSeries(engines, filepath.Join(dir, "engines.png"),
		series{"time in steps", func(s *EmulatedSecond) float64 { return s.Busy }},
		series{"requests for each slot", func(s *EmulatedSecond) float64 { return s.Running }}); err != nil {
		return err
	}
	return r.plotWaits(filepath.Join(dir, "waits.png"))
}

func (r *EmulationReport) newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = r.Site, x, y, 0
	p.Legend.Top = true
	return p
}

// series is a line of a plot over time.
type series struct {
	name  string
	value func(*EmulatedSecond) float64
}

func (r *EmulationReport) drawSeries(p *plot.Plot, path string, lines ...series) error {
	var args []any
	for _, line := range lines {
		xys := make(plotter.XYs, 0, len(r.Series))
		for n := range r.Series {
			xys = append(xys, plotter.XY{X: float64(n), Y: line.value(&r.Series[n])})
		}
		args = append(args, line.name, xys)
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// plotWaits draws, for each kind, the share of whole answers whose first event came within a time.
func (r *EmulationReport) plotWaits(path string) error {
	p := r.newPlot("ms until the first event", "% of whole answers")
	var args []any
	for i, waits := range r.waits {
		if waits.TotalCount() == 0 {
			continue
		}
		var xys plotter.XYs
		for _, b := range waits.CumulativeDistributionWithTicks(waitTicks) {
			xys = append(xys, plotter.XY{X: float64(b.ValueAt) / float64(time.Millisecond/time.Microsecond), Y: b.Quantile})
		}
		args = append(args, r.Kinds[i].Name, xys)
	}
	p.Legend.Top = false
	if err := plotutil.AddLines(p, args...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
