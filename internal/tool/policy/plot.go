package policy

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter
)

// Plot writes bar charts of the main table's mean figures as SVG files into dir.
func (rep Report) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("policy: plots: %w", err)
	}
	charts := []struct {
		file, title, unit string
		pick              func(Figures) float64
	}{
		{"first_token.svg", "First token, 99th percentile, all calls", "s", func(f Figures) float64 { return f.FirstTokenP99Ms / 1000 }},
		{"check_first_token.svg", "First token, 99th percentile, short checks", "s", func(f Figures) float64 { return f.CheckFirstTokenP99Ms / 1000 }},
		{"preemptions.svg", "Preemptions per 1000 generations", "", func(f Figures) float64 { return 1000 * f.PreemptionsPerGeneration }},
		{"useful_tokens.svg", "Useful tokens per second", "tokens/s", func(f Figures) float64 { return f.UsefulTokensPS }},
	}
	for _, c := range charts {
		if err := rep.plotBars(filepath.Join(dir, c.file), c.title, c.unit, c.pick); err != nil {
			return fmt.Errorf("policy: plot %s: %w", c.file, err)
		}
	}
	return nil
}

func (rep Report) plotBars(file, title, unit string, pick func(Figures) float64) error {
	var values plotter.Values
	for _, name := range Names() {
		values = append(values, pick(rep.Main[name].Mean))
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Add(bars)
	p.NominalX(Names()...)
	return p.Save(plotWidth, plotHeight, file)
}
