package main

import (
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jacinthnotch/jacinthnotch/policy/sim"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	// plotPoints bounds the points of a curve, and so the size of the file.
	plotPoints = 120
)

func plotName(s study) string { return "first-" + s.trace.Name + ".svg" }

// plotLatencies draws the distribution of the time to the first token, from the
// median up, for the first four variants.
func plotLatencies(dir string, s study) error {
	p := plot.New()
	p.Title.Text = s.trace.Name
	p.X.Label.Text = "time to the first token, ms (log)"
	p.Y.Label.Text = "share of requests"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = false
	var lines []any
	for i, r := range s.results[:4] {
		lines = append(lines, variants[i].name, curve(r.FirstTokenLatencies))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, plotName(s)))
}

func curve(v []time.Duration) plotter.XYs {
	out := make(plotter.XYs, plotPoints)
	for i := range out {
		q := 0.5 + 0.5*float64(i)/plotPoints
		out[i] = plotter.XY{X: max(1, sim.Quantile(v, q).Seconds()*1000), Y: q}
	}
	return out
}

// plotTradeOff draws each variant of each trace by its p99 ratio and the filled
// share of idle capacity.
func plotTradeOff(dir string, studies []study) error {
	p := plot.New()
	p.Title.Text = "p99 of the whole answer beside batch and filled capacity"
	p.X.Label.Text = "p99 total, multiple of the run without batch (log)"
	p.Y.Label.Text = "idle capacity filled"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = false, false
	var points []any
	for i, v := range variants {
		if v.mode == sim.NoBatch {
			continue
		}
		var xys plotter.XYs
		for _, s := range studies {
			xys = append(xys, plotter.XY{X: over(s.results[i].TotalLatencies, s.results[0].TotalLatencies), Y: s.results[i].IdleFillRatio})
		}
		points = append(points, v.name, xys)
	}
	if err := plotutil.AddScatters(p, points...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, "tradeoff.svg"))
}
