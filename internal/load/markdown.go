package load

import "github.com/jedib0t/go-pretty/v6/table"

// newTable returns a report table with the given header.
func newTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.AppendHeader(header)
	return t
}
