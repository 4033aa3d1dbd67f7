package experiment

import (
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// plotConvergence draws the share of nodes that have a change in force over time, with one
// line per system. The file extension, .png or .svg, selects the format.
func plotConvergence(path, title string, all []SystemResult) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time from the request to in force, ms"
	p.Y.Label.Text = "share of nodes and changes, %"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	var lines []any
	for _, f := range all {
		points := make(plotter.XYs, len(f.Convergence.Curve))
		for percent, millis := range f.Convergence.Curve {
			points[percent] = plotter.XY{X: max(millis, 0.001), Y: float64(percent)}
		}
		lines = append(lines, f.System, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Legend.Left = true
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
