package bvload

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot writes the members' program latencies by percentile to a file. The extension
// selects the format: .svg, .png or .pdf.
func (report Report) Plot(path string) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("Program latency, %d programs, seed %d", report.Programs, report.Seed)
	drawing.X.Label.Text = "percentile"
	drawing.Y.Label.Text = "ms"
	drawing.Y.Min = 0
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	for i, member := range report.Members {
		if member.Program.Count == 0 {
			continue
		}
		line, err := plotter.NewLine(member.Program.points())
		if err != nil {
			return fmt.Errorf("load: plot: %w", err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		drawing.Add(line)
		drawing.Legend.Add(member.Name, line)
	}
	if err := drawing.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	return nil
}

func (latency Latency) points() plotter.XYs {
	points := plotter.XYs{}
	for _, point := range latency.curve {
		points = append(points, plotter.XY{X: point.percentile, Y: point.milliseconds})
	}
	return points
}
