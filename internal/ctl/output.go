package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"kumquatyard/internal/configstore"
)

// printable is the result of a command. It is printed as tables, or as JSON by
// marshalling the value itself.
type printable interface {
	// tables returns the tables to print, in order.
	tables() []table.Writer
}

func (a *app) print(v printable) error {
	if a.Output == "json" {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	for _, t := range v.tables() {
		t.SetOutputMirror(a.stdout)
		t.Render()
	}
	return nil
}

func newTable(title string, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.SetTitle(title)
	if len(header) > 0 {
		t.AppendHeader(header)
	}
	return t
}

// outcome is the result of a change.
type outcome struct {
	Outcome  string `json:"outcome"`
	ChangeID string `json:"change_id,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	// Agent is the agent that the accepted version was pushed to. It is empty if
	// none was, and agents then learn of the version by their watches.
	Agent string `json:"agent,omitempty"`
	// Advice is the recommended next step.
	Advice    string         `json:"advice,omitempty"`
	Problems  string         `json:"problems,omitempty"`
	Warnings  []string       `json:"warnings,omitempty"`
	Conflicts []conflictSide `json:"conflicts,omitempty"`
	Changes   []rowChange    `json:"changes,omitempty"`
}

// conflictSide is a document in conflict, with its bodies in the base and on both
// sides.
type conflictSide struct {
	Document string `json:"document"`
	By       string `json:"by"`
	ByChange string `json:"by_change"`
	Base     string `json:"base"`
	Theirs   string `json:"theirs"`
	Mine     string `json:"mine"`
}

func (o outcome) tables() []table.Writer {
	var out []table.Writer
	if len(o.Changes) > 0 {
		out = append(out, changesTable(o.Changes))
	}
	for _, c := range o.Conflicts {
		out = append(out, c.table())
	}
	t := newTable("Result", "outcome", "change", "version", "pushed to agent", "advice")
	t.AppendRow(table.Row{o.Outcome, o.ChangeID, o.Version, o.Agent, o.Advice})
	out = append(out, t)
	if o.Problems != "" {
		problems := newTable("Problems")
		problems.AppendRow(table.Row{o.Problems})
		out = append(out, problems)
	}
	if len(o.Warnings) > 0 {
		warnings := newTable("Warnings")
		for _, w := range o.Warnings {
			warnings.AppendRow(table.Row{w})
		}
		out = append(out, warnings)
	}
	return out
}

func (c conflictSide) table() table.Writer {
	t := newTable(fmt.Sprintf("Conflict in %s: changed by %s in change %s", c.Document, c.By, c.ByChange), "", "line")
	appendDiff(t, "base → theirs", c.Base, c.Theirs)
	t.AppendSeparator()
	appendDiff(t, "base → mine", c.Base, c.Mine)
	return t
}

// appendDiff adds a row for each differing line, with the label in the first one.
func appendDiff(t table.Writer, label, from, to string) {
	for _, line := range diffLines(from, to) {
		t.AppendRow(table.Row{label, line})
		label = ""
	}
}

// report prints the result of a change and returns its exit code as an error.
func (a *app) report(ctx context.Context, id string, result configstore.Result, changes []rowChange) error {
	o := outcome{Outcome: result.Outcome.String(), ChangeID: id, Version: result.Version, Warnings: result.Warnings, Changes: changes}
	code := ExitAccepted
	switch result.Outcome {
	case configstore.Accepted:
		o.Agent = a.push(ctx, result.Bundle)
	case configstore.Conflicted:
		code = ExitConflict
		o.Advice = "read the documents again, merge both edits and apply"
		for _, c := range result.Conflicts {
			o.Conflicts = append(o.Conflicts, conflictSide{
				Document: c.Document, By: c.By.Author, ByChange: c.By.ID,
				Base: string(c.BaseBody), Theirs: string(c.TheirsBody), Mine: string(c.MineBody),
			})
		}
	case configstore.Unknown:
		code = ExitUnknown
		o.Advice = "run the same command again with --change " + id
	case configstore.Refused:
		code = ExitRefused
		o.Advice = "fix the problems and apply again"
		o.Problems = result.Problems.Error()
	}
	if err := a.print(o); err != nil {
		return err
	}
	if code == ExitAccepted {
		return nil
	}
	return &exitError{code: code}
}
