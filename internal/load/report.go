package load

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

// maxViolations limits the violations that a report lists per target.
const maxViolations = 20

// WriteReport writes report.md and its plots to directory.
func WriteReport(directory string, s Scenario, results []*TargetResult) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("create report directory: %w", err)
	}
	file, err := os.Create(filepath.Join(directory, "report.md"))
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	defer file.Close()
	if err := writePlots(directory, results); err != nil {
		return fmt.Errorf("write plots of the report: %w", err)
	}
	writeMarkdown(file, s, results)
	return file.Close()
}

// writeMarkdown writes the tables of a report.
func writeMarkdown(w io.Writer, s Scenario, results []*TargetResult) {
	fmt.Fprintf(w, "# Load report\n\nMix %s, seed %d, %v a round, %d rounds, %.3g requests/s on average (bursts at %.3g times the calm rate, %.3g of the time).\n",
		s.mixName(), s.Seed, s.Duration, s.Rounds, s.Arrivals.Rate, s.Arrivals.BurstFactor, s.Arrivals.BurstShare)
	for _, e := range s.Events {
		fmt.Fprintf(w, "\nEvent at %v on %s: %s\n", e.At, e.Standin, e.describe())
	}
	writeSection(w, "Latency by class", latencyTable(results, func(r *TargetResult) map[string]*Stats { return r.ByClass }))
	fmt.Fprintf(w, "\nTimes count from the scheduled arrival, even if a request was sent late.\n\n![time to first token](first_token.png)\n\n![time between tokens](between_tokens.png)\n")
	writeSection(w, "Latency by workspace", latencyTable(results, func(r *TargetResult) map[string]*Stats { return r.ByWorkspace }))
	writeSection(w, "Outcomes", outcomeTable(results))
	writeSection(w, "Refusals", refusalTable(results))
	writeSection(w, "Tokens and cost", tokenTable(results))
	writeSection(w, "Violations", violationTable(results))
}

func (s Scenario) mixName() string {
	if s.Mix == "" {
		return "custom"
	}
	return s.Mix
}

func (e Event) describe() string {
	switch {
	case e.Faults != nil:
		return fmt.Sprintf("faults %+v", *e.Faults)
	case e.Reclaim != nil:
		return fmt.Sprintf("reclaim %+v", *e.Reclaim)
	default:
		return "restart"
	}
}

func writeSection(w io.Writer, title string, t table.Writer) {
	fmt.Fprintf(w, "\n## %s\n\n%s\n", title, t.RenderMarkdown())
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func latencyTable(results []*TargetResult, group func(*TargetResult) map[string]*Stats) table.Writer {
	t := newTable("", "target", "requests", "first p50", "p95", "p99", "between p50", "p95", "p99")
	for _, name := range groupNames(results, group) {
		for _, r := range results {
			stats := group(r)[name]
			if stats == nil {
				continue
			}
			row := []any{name, r.Target.Name, stats.count()}
			row = append(row, quantiles(stats.FirstToken)...)
			row = append(row, quantiles(stats.Gaps)...)
			t.AppendRow(row)
		}
	}
	return t
}

func groupNames(results []*TargetResult, group func(*TargetResult) map[string]*Stats) []string {
	names := make(map[string]bool)
	for _, r := range results {
		for name := range group(r) {
			names[name] = true
		}
	}
	return sortedKeys(names)
}

func quantiles(h *hdrhistogram.Histogram) []any {
	var cells []any
	for _, percent := range []float64{50, 95, 99} {
		if h.TotalCount() == 0 {
			cells = append(cells, "")
			continue
		}
		cells = append(cells, formatMilliseconds(quantile(h, percent)))
	}
	return cells
}

func formatMilliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f ms", milliseconds(d))
}

func outcomeTable(results []*TargetResult) table.Writer {
	t := newTable("target", "requests", "ok", "refused", "failed", "lost", "unsent", "wrong", "resumes", "goodput/s", "send delay p99")
	for _, r := range results {
		total := make(map[Result]int)
		requests, resumes := 0, 0
		for _, s := range r.ByClass {
			requests += s.count()
			resumes += s.Resumes
			for result, n := range s.Results {
				total[result] += n
			}
		}
		t.AppendRow(table.Row{
			r.Target.Name, requests, total[OK], total[Refused], total[Failed], total[Lost], total[Unsent], total[Wrong],
			resumes, fmt.Sprintf("%.2f", r.goodput()), formatMilliseconds(quantile(r.SendDelay, 99)),
		})
	}
	return t
}

func refusalTable(results []*TargetResult) table.Writer {
	t := newTable("target", "class", "verdict and type", "number", "refusal time p50", "p95", "p99")
	for _, r := range results {
		for _, class := range sortedKeys(r.ByClass) {
			stats := r.ByClass[class]
			for _, verdict := range sortedKeys(stats.Verdicts) {
				row := []any{r.Target.Name, class, verdict, stats.Verdicts[verdict]}
				t.AppendRow(append(row, quantiles(stats.Refusal)...))
			}
		}
	}
	return t
}

func tokenTable(results []*TargetResult) table.Writer {
	t := newTable("target", "generated", "prompt computed", "prompt reused", "prompt ideal", "recomputed in total", "recomputed on continuation", "cost", "KV writes", "KV reads")
	for _, r := range results {
		tokens := r.GroundTruth.Tokens
		t.AppendRow(table.Row{
			r.Target.Name, tokens.TokensGenerated, tokens.PromptTokensComputed, tokens.PromptTokensReused, r.IdealPromptTokens,
			r.Recomputed(), tokens.TokensRecomputed, fmt.Sprintf("%.4f", r.Cost), r.GroundTruth.KV.Writes, r.GroundTruth.KV.Reads,
		})
	}
	return t
}

// Recomputed returns the number of tokens computed more than once: prompt tokens
// beyond the ideal, and tokens recomputed to continue an answer.
func (r *TargetResult) Recomputed() int {
	return int(r.GroundTruth.Tokens.PromptTokensComputed) - r.IdealPromptTokens + int(r.GroundTruth.Tokens.TokensRecomputed)
}

func violationTable(results []*TargetResult) table.Writer {
	t := newTable("target", "promise", "observed violation")
	for _, r := range results {
		for i, v := range r.Violations {
			if i == maxViolations {
				t.AppendRow(table.Row{r.Target.Name, "", fmt.Sprintf("and %d more", len(r.Violations)-i)})
				break
			}
			t.AppendRow(table.Row{r.Target.Name, v.Guarantee, v.Detail})
		}
	}
	return t
}

// Violated reports whether any target violated a guarantee.
func Violated(results []*TargetResult) bool {
	return slices.ContainsFunc(results, func(r *TargetResult) bool { return len(r.Violations) > 0 })
}
