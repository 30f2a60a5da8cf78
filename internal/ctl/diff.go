package ctl

import (
	"fmt"
	"strings"

	"github.com/google/go-cmp/cmp"
)

// lineReporter is a cmp reporter that collects the lines that only one of two
// texts has.
type lineReporter struct {
	path  cmp.Path
	lines []string
}

// PushStep implements the interface of cmp.Reporter.
func (r *lineReporter) PushStep(step cmp.PathStep) { r.path = append(r.path, step) }

// PopStep implements the interface of cmp.Reporter.
func (r *lineReporter) PopStep() { r.path = r.path[:len(r.path)-1] }

// Report implements the interface of cmp.Reporter.
func (r *lineReporter) Report(result cmp.Result) {
	if result.Equal() {
		return
	}
	before, after := r.path.Last().Values()
	if before.IsValid() {
		r.lines = append(r.lines, fmt.Sprint("- ", before))
	}
	if after.IsValid() {
		r.lines = append(r.lines, fmt.Sprint("+ ", after))
	}
}

// diffLines returns the lines that differ between two texts: those only in from
// are marked "-", those only in to "+".
func diffLines(from, to string) []string {
	var r lineReporter
	cmp.Equal(splitLines(from), splitLines(to), cmp.Reporter(&r))
	return r.lines
}

func splitLines(text string) []string {
	lines := []string{}
	if text == "" {
		return lines
	}
	return append(lines, strings.Split(strings.TrimSuffix(text, "\n"), "\n")...)
}
