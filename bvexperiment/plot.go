package bvexperiment

import (
	"fmt"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws the 99th percentile of the program latency over the load, with a line for
// each policy. The file's extension selects the format, such as .svg or .png.
func (report *Report) Plot(file string) error {
	chart := plot.New()
	chart.Title.Text = "Program latency, 99 in 100"
	chart.X.Label.Text = "load"
	chart.Y.Label.Text = "seconds"
	chart.Y.Min = 0
	var lines []any
	for _, contender := range standardContenders() {
		if points := report.points(contender.name); len(points) > 0 {
			lines = append(lines, contender.name, points)
		}
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return fmt.Errorf("bvexperiment: plot: %w", err)
	}
	chart.Legend.Top = true
	chart.Legend.Left = true
	if err := chart.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("bvexperiment: plot: %w", err)
	}
	return nil
}

func (report *Report) points(policy string) plotter.XYs {
	const millisecondsPerSecond = 1000
	var points plotter.XYs
	for _, result := range report.Results {
		load := 0.0
		if result.Policy != policy || !strings.HasPrefix(result.Scenario, "load-") {
			continue
		}
		if _, err := fmt.Sscanf(result.Scenario, "load-%f", &load); err != nil {
			continue
		}
		points = append(points, plotter.XY{X: load, Y: result.median(latencyP99) / millisecondsPerSecond})
	}
	return points
}
