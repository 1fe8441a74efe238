package measurer

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/standin"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	percent    = 100
)

// series is a named curve of a chart.
type series struct {
	name   string
	points plotter.XYs
}

// plotCost draws, for each policy, the percentage of calls within the latency target against the engines' price per hour.
func plotCost(path string, trials map[parser.Policy][]*trial) error {
	var curves []series
	for _, policy := range policies {
		curve := series{
			name: string(policy),
		}
		for _, t := range trials[policy] {
			curve.points = append(curve.points, plotter.XY{
				X: t.engineCost / t.report.Duration.Hours(),
				Y: percent * float64(t.metTarget) / float64(max(1, len(t.report.Outcomes))),
			})
		}
		curves = append(curves, curve)
	}
	return writeChart(path, "Calls within the latency target", "price of the engines held, per hour", "calls within the target, %", curves)
}

// plotWave draws the cumulative count of tokens that engines recomputed over the time of the load, for each policy.
func plotWave(path string, trials []*trial) error {
	var curves []series
	for _, t := range trials {
		curve := series{
			name:   string(t.policy),
			points: plotter.XYs{{}},
		}
		slices.SortFunc(t.recomputations, func(a, b standin.JournalEvent) int { return a.At.Compare(b.At) })
		total := 0
		for _, line := range t.recomputations {
			total += line.Tokens
			curve.points = append(curve.points, plotter.XY{
				X: line.At.Sub(t.startedAt).Seconds(),
				Y: float64(total),
			})
		}
		curve.points = append(curve.points, plotter.XY{
			X: t.report.Duration.Seconds(),
			Y: float64(total),
		})
		curves = append(curves, curve)
	}
	return writeChart(path, "Tokens computed again through a wave", "seconds of load; the wave comes at 6", "tokens", curves)
}

// writeChart writes the curves as a line chart to an SVG file.
func writeChart(path, title, xLabel, yLabel string, curves []series) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return fmt.Errorf("create the folder of plots: %w", err)
	}
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	chart.Y.Min = 0
	chart.Legend.Top = true
	for i, curve := range curves {
		line, points, err := plotter.NewLinePoints(curve.points)
		if err != nil {
			return fmt.Errorf("draw %s: %w", curve.name, err)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		chart.Add(line, points)
		chart.Legend.Add(curve.name, line, points)
	}
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write the plot: %w", err)
	}
	return nil
}

// costSeries returns the curve of one value of each cost against the number of entries.
func costSeries(name string, costs []controlCost, value func(controlCost) float64) series {
	result := series{
		name: name,
	}
	for _, cost := range costs {
		result.points = append(result.points, plotter.XY{
			X: float64(cost.entries),
			Y: value(cost),
		})
	}
	return result
}
