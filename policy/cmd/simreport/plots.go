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
	// curvePoints is the number of points of a curve. It bounds the file size.
	curvePoints = 120
)

func latencyPlotName(s traceResults) string { return "first-" + s.trace.Name + ".svg" }

// plotLatencies draws the cumulative distribution of the time to the first token,
// from the median up, for the first four variants, which use the same picker.
func plotLatencies(dir string, s traceResults) error {
	p := plot.New()
	p.Title.Text = s.trace.Name
	p.X.Label.Text = "time to the first token, ms (log)"
	p.Y.Label.Text = "share of requests"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = false
	var lines []any
	for i, r := range s.results[:4] {
		lines = append(lines, variants[i].name, distribution(r.FirstTokenLatencies))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, latencyPlotName(s)))
}

// distribution returns points of the upper half of the cumulative distribution.
// Latencies below 1 ms are drawn as 1 ms, because the axis is logarithmic.
func distribution(sorted []time.Duration) plotter.XYs {
	out := make(plotter.XYs, curvePoints)
	for i := range out {
		q := 0.5 + 0.5*float64(i)/curvePoints
		out[i] = plotter.XY{X: max(1, sim.Quantile(sorted, q).Seconds()*1000), Y: q}
	}
	return out
}

// plotTradeOff draws a point for each variant with batch work and each trace: the
// p99 ratio against the share of idle capacity that is filled.
func plotTradeOff(dir string, all []traceResults) error {
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
		for _, s := range all {
			xys = append(xys, plotter.XY{X: p99Ratio(s.results[i].TotalLatencies, s.results[0].TotalLatencies), Y: s.results[i].IdleFillRatio})
		}
		points = append(points, v.name, xys)
	}
	if err := plotutil.AddScatters(p, points...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, "tradeoff.svg"))
}
