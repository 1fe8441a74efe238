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

// series is one named curve.
type series struct {
	name   string
	points plotter.XYs
}

// plotCost draws, for each policy, the share of calls within the target against the fleet's price.
func plotCost(path string, curves map[parser.Policy][]*trial) error {
	var drawn []series
	for _, policy := range policies {
		one := series{
			name: string(policy),
		}
		for _, t := range curves[policy] {
			one.points = append(one.points, plotter.XY{
				X: t.spent / t.report.Span.Hours(),
				Y: percent * float64(t.good) / float64(max(1, len(t.report.Outcomes))),
			})
		}
		drawn = append(drawn, one)
	}
	return draw(path, "Calls within the latency target", "price of the engines held, per hour", "calls within the target, %", drawn)
}

// plotWave draws how many tokens each policy had computed again by a moment of the load.
func plotWave(path string, waves []*trial) error {
	var drawn []series
	for _, t := range waves {
		one := series{
			name:   string(t.policy),
			points: plotter.XYs{{}},
		}
		slices.SortFunc(t.again, func(a, b standin.Line) int { return a.At.Compare(b.At) })
		total := 0
		for _, line := range t.again {
			total += line.Tokens
			one.points = append(one.points, plotter.XY{
				X: line.At.Sub(t.began).Seconds(),
				Y: float64(total),
			})
		}
		one.points = append(one.points, plotter.XY{
			X: t.report.Span.Seconds(),
			Y: float64(total),
		})
		drawn = append(drawn, one)
	}
	return draw(path, "Tokens computed again through a wave", "seconds of load; the wave comes at 6", "tokens", drawn)
}

// draw writes curves as an SVG file.
func draw(path, title, x, y string, drawn []series) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return fmt.Errorf("make the folder of plots: %w", err)
	}
	page := plot.New()
	page.Title.Text = title
	page.X.Label.Text = x
	page.Y.Label.Text = y
	page.Y.Min = 0
	page.Legend.Top = true
	for i, one := range drawn {
		line, points, err := plotter.NewLinePoints(one.points)
		if err != nil {
			return fmt.Errorf("draw %s: %w", one.name, err)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		page.Add(line, points)
		page.Legend.Add(one.name, line, points)
	}
	if err := page.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write the plot: %w", err)
	}
	return nil
}

// curve draws a value of each slope against the size of its fleet.
func curve(name string, slopes []slope, value func(slope) float64) series {
	one := series{
		name: name,
	}
	for _, s := range slopes {
		one.points = append(one.points, plotter.XY{
			X: float64(s.nodes),
			Y: value(s),
		})
	}
	return one
}
