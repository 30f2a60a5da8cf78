package load

import "github.com/jedib0t/go-pretty/v6/table"

// newTable returns a table of a report with a header.
func newTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.AppendHeader(header)
	return t
}
