package bench

// This file defines the plot of a report: attainment over time for each class.

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plot draws the attainment of each class into an image file.
func (r *Report) plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Experiment + " " + r.Deployment + " " + r.Policy
	p.X.Label.Text = "second in which a call was sent"
	p.Y.Label.Text = "% in time"
	p.Y.Min, p.Y.Max = 0, percent
	var lines []any
	for i := range r.Classes {
		name := r.Classes[i].Name
		lines = append(lines, string(name), r.points(name))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// points returns the attainment of a class for each second in which calls were
// sent.
func (r *Report) points(name id.Class) plotter.XYs {
	var xys plotter.XYs
	for _, b := range r.Series {
		if b.Class == name && b.Calls > 0 {
			xys = append(xys, plotter.XY{X: float64(b.Second), Y: percent * float64(b.InTime) / float64(b.Calls)})
		}
	}
	return xys
}
