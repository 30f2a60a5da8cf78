package load

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteOverhead writes the result to overhead.md in directory.
func WriteOverhead(directory string, o Overhead, result *OverheadResult) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("create report directory: %w", err)
	}
	o = o.withDefaults()
	text := fmt.Sprintf("# Overhead of the gateway\n\n%s %s, %d rounds of alternating %v slices, %d connections at saturation, latency at %.0f requests/s.\n\n%s\n",
		o.Method, o.Path, o.Rounds, o.Slice, o.Connections, result.Rate, result.table().RenderMarkdown())
	if err := os.WriteFile(filepath.Join(directory, "overhead.md"), []byte(text), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (r *OverheadResult) table() table.Writer {
	t := newTable("way", "p50", "p95", "p99", "requests/s (median)", "min", "max", "CPU/request", "errors")
	for _, p := range []*PathResult{&r.Direct, &r.Gateway} {
		row := append([]any{p.Name}, quantiles(p.Paced)...)
		cpu := ""
		if p.CPU > 0 {
			cpu = p.CPU.Round(100 * time.Nanosecond).String()
		}
		row = append(row, perSecond(median(p.PerSecond)), perSecond(slices.Min(p.PerSecond)), perSecond(slices.Max(p.PerSecond)), cpu, p.Errors)
		t.AppendRow(row)
	}
	added := []any{"added"}
	for _, percent := range []float64{50, 95, 99} {
		added = append(added, formatMilliseconds(quantile(r.Gateway.Paced, percent)-quantile(r.Direct.Paced, percent)))
	}
	t.AppendRow(append(added, "", "", "", "", ""))
	return t
}

func perSecond(rate float64) string { return fmt.Sprintf("%.0f", rate) }

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	ordered := slices.Sorted(slices.Values(values))
	return ordered[len(ordered)/2]
}
