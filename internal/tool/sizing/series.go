// Package sizing measures the resource use of each role at increasing sizes (processes,
// streams, workspaces and so on) and writes docs/CAPACITY.md, which extrapolates the
// slopes to the target size.
package sizing

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Series holds one measured quantity as a function of one size, with a linear fit.
type Series struct {
	Name      string    `json:"name"`
	Axis      string    `json:"axis"` // what X counts
	Unit      string    `json:"unit"`
	X         []float64 `json:"x"`
	Y         []float64 `json:"y"`
	Slope     float64   `json:"slope"` // change of Y for each unit of X
	Intercept float64   `json:"intercept"`
	MinSlope  float64   `json:"slope_low"`  // smallest slope between neighbouring points
	MaxSlope  float64   `json:"slope_high"` // greatest slope between neighbouring points
	RSquared  float64   `json:"r_squared"`
	Shape     string    `json:"shape"` // linear, constant or neither
}

const (
	minLinearRSquared = 0.97 // below it a series does not count as linear
	maxConstantSpread = 0.25 // greatest value divided by the smallest, minus one
)

// newSeries fits a line and classifies the values as linear, constant or neither.
func newSeries(name, axis, unit string, x, y []float64) Series {
	s := Series{Name: name, Axis: axis, Unit: unit, X: x, Y: y, MinSlope: math.Inf(1), MaxSlope: math.Inf(-1)}
	s.Intercept, s.Slope = stat.LinearRegression(x, y, nil, false)
	s.RSquared = stat.RSquared(x, y, nil, s.Intercept, s.Slope)
	if math.IsNaN(s.RSquared) {
		s.RSquared = 1 // all values are the same, so that the variance is 0
	}
	least, most := math.Inf(1), math.Inf(-1)
	for i := range x {
		least, most = min(least, y[i]), max(most, y[i])
		if i > 0 {
			step := (y[i] - y[i-1]) / (x[i] - x[i-1])
			s.MinSlope, s.MaxSlope = min(s.MinSlope, step), max(s.MaxSlope, step)
		}
	}
	switch {
	case least == most || least > 0 && most/least-1 < maxConstantSpread:
		s.Shape = "constant"
	case s.RSquared >= minLinearRSquared:
		s.Shape = "linear"
	default:
		s.Shape = "neither"
	}
	return s
}

// estimate returns the quantity at a size: the value on the fitted line if the series is
// linear, else the greatest measured value.
func (s Series) estimate(x float64) float64 {
	if s.Shape == "linear" {
		return s.Intercept + s.Slope*x
	}
	most := math.Inf(-1)
	for _, y := range s.Y {
		most = max(most, y)
	}
	return most
}

// tableRow formats the series as a row of a Markdown table.
func (s Series) tableRow() string {
	values := ""
	for i := range s.X {
		if i > 0 {
			values += ", "
		}
		values += fmt.Sprintf("%g: %s", s.X[i], formatNumber(s.Y[i]))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s (%s to %s) | %s, r² %.3f |",
		s.Name, s.Axis, s.Unit, values, formatNumber(s.Slope), formatNumber(s.MinSlope), formatNumber(s.MaxSlope), s.Shape, s.RSquared)
}

// formatNumber formats a number with about three significant digits.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// column returns the picked value of each row.
func column[T any](rows []T, pick func(T) float64) []float64 {
	out := make([]float64, len(rows))
	for i, row := range rows {
		out[i] = pick(row)
	}
	return out
}
