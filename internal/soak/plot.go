package soak

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// Plot writes a chart of the statements in each second, by result, with the faults
// marked.
func Plot(r Report, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d: %d violations", r.Seed, len(r.Violations))
	p.X.Label.Text, p.Y.Label.Text = "seconds", "statements a second"
	lines := []struct {
		name  string
		color color.RGBA
		of    func(s secondCounts) int
	}{
		{"done", color.RGBA{G: 140, A: 255}, func(s secondCounts) int { return s.Done }},
		{"refused", color.RGBA{R: 230, G: 150, A: 255}, func(s secondCounts) int { return s.Refused }},
		{"unknown", color.RGBA{R: 200, A: 255}, func(s secondCounts) int { return s.Unknown }},
		{"broken", color.RGBA{B: 200, A: 255}, func(s secondCounts) int { return s.Broken }},
	}
	most := 1
	for _, l := range lines {
		var points plotter.XYs
		for i, s := range r.Seconds {
			points = append(points, plotter.XY{X: float64(i), Y: float64(l.of(s))})
			most = max(most, l.of(s))
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = l.color
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	if err := markFaults(p, r.Faults, float64(most)); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// markFaults labels the start of each fault with its kind. The labels are placed at
// 20 heights in turn, so that they overlap less.
func markFaults(p *plot.Plot, faults []Fault, top float64) error {
	var marks plotter.XYLabels
	for i, f := range faults {
		marks.XYs = append(marks.XYs, plotter.XY{X: float64(f.AtMS) / 1000, Y: top * (1 - float64(i%20)/20)})
		marks.Labels = append(marks.Labels, f.Kind)
	}
	if len(faults) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(marks)
	if err != nil {
		return err
	}
	p.Add(labels)
	return nil
}
