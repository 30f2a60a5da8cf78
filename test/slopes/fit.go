package main

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
)

// series holds the values of one quantity at several sizes.
type series struct {
	name, unit, per string
	x, y            []float64
}

func (s *series) add(x, y float64) {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
}

// fit returns the least-squares line through the values and its coefficient of
// determination.
func (s *series) fit() (intercept, slope, r2 float64) {
	intercept, slope = stat.LinearRegression(s.x, s.y, nil, false)
	return intercept, slope, stat.RSquared(s.x, s.y, nil, intercept, slope)
}

// writeFits writes a table with the values and the fitted line of each series.
func writeFits(out io.Writer, all ...*series) {
	t := newTable(out, "quantity", "unit", "measured (size: value)", "intercept", "slope", "per", "r2")
	for _, s := range all {
		intercept, slope, r2 := s.fit()
		points := ""
		for i := range s.x {
			points += fmt.Sprintf("%g: %.4g  ", s.x[i], s.y[i])
		}
		t.AppendRow(table.Row{s.name, s.unit, points, fmt.Sprintf("%.4g", intercept), fmt.Sprintf("%.4g", slope), s.per, fmt.Sprintf("%.3f", r2)})
	}
	t.Render()
}

func newTable(out io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(header)
	t.Style().Format.Header = 0
	return t
}
