package load

import (
	"image/color"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// writePlots plots the distributions of the time to first token and of the time
// between tokens.
func writePlots(directory string, results []*TargetResult) error {
	first := func(s *Stats) *hdrhistogram.Histogram { return s.FirstToken }
	gaps := func(s *Stats) *hdrhistogram.Histogram { return s.Gaps }
	if err := writePlot(filepath.Join(directory, "first_token.png"), "Time to first token or answer", results, first); err != nil {
		return err
	}
	return writePlot(filepath.Join(directory, "between_tokens.png"), "Time between tokens", results, gaps)
}

// writePlot plots latency by percentile, one line for each target and class.
func writePlot(file, title string, results []*TargetResult, of func(*Stats) *hdrhistogram.Histogram) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	p.BackgroundColor = color.White
	drawn := 0
	for dash, r := range results {
		for i, class := range sortedKeys(r.ByClass) {
			h := of(r.ByClass[class])
			if h.TotalCount() == 0 {
				continue
			}
			line, err := plotter.NewLine(percentileCurve(h))
			if err != nil {
				return err
			}
			line.Color = plotutil.Color(i)
			line.Dashes = plotutil.Dashes(dash)
			p.Add(line)
			p.Legend.Add(r.Target.Name+" "+class, line)
			drawn++
		}
	}
	if drawn == 0 {
		p.Y.Scale = plot.LinearScale{}
		p.Y.Tick.Marker = plot.DefaultTicks{}
	}
	return p.Save(plotWidth, plotHeight, file)
}

func percentileCurve(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for percent := 1.0; percent < 100; percent++ {
		points = append(points, plotter.XY{X: percent, Y: milliseconds(quantile(h, percent))})
	}
	return append(points, plotter.XY{X: 99.9, Y: milliseconds(quantile(h, 99.9))})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
