package load

import (
	"fmt"
	"strings"
)

// markdownTable is a table of a report.
type markdownTable struct {
	rows [][]string
}

func newTable(header ...any) *markdownTable {
	t := &markdownTable{}
	t.add(header...)
	return t
}

func (t *markdownTable) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = strings.NewReplacer("|", `\|`, "\n", " ").Replace(fmt.Sprint(cell))
	}
	t.rows = append(t.rows, row)
}

// String returns the table in Markdown.
func (t *markdownTable) String() string {
	var b strings.Builder
	for i, row := range t.rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
		if i == 0 {
			b.WriteString("|" + strings.Repeat(" --- |", len(row)) + "\n")
		}
	}
	return b.String()
}
