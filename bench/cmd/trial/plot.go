package main

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotSlopes plots each quantity that grows with the group's nodes, as a share of its
// budget, so that all fit into one plot.
func plotSlopes(file string, slopes []*slope) error {
	p := plot.New()
	p.Title.Text = "What one node uses, by the size of its group (idle)"
	p.X.Label.Text = "nodes of the group"
	p.Y.Label.Text = "share of the budget (2.4% of a core, 13 KB/s, 64 MB)"
	budgets := map[string]float64{"cpu_percent_of_core": 2.4, "bytes_per_s": 13 * kilobyte, "rss_mb": 64}
	var lines []any
	for _, s := range slopes {
		budget, ok := budgets[s.Quantity]
		if !ok || s.Per != "node of the group" {
			continue
		}
		points := make(plotter.XYs, 0, len(s.Points))
		for _, m := range s.Points {
			points = append(points, plotter.XY{X: m.X, Y: m.Y / budget})
		}
		lines = append(lines, s.Role+" "+s.Quantity, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	p.Legend.Top, p.Legend.Left = true, true
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}
